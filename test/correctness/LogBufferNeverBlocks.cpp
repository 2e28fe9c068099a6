// LogBuffer with a reader that reads at once, a reader that doesn't read, and an invalid descriptor.
#include "transport/LogBuffer.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unistd.h>

using namespace Ebonystack;

namespace {

struct Pipe {
    Pipe() { REQUIRE(pipe(ends.data()) == 0); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    /// Returns the next bytes of the pipe, `byteLimit` at most.
    std::string readAvailable(std::size_t byteLimit)
    {
        std::string text(byteLimit, '\0');
        const ssize_t count = read(ends[0], text.data(), byteLimit);
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    std::array<int, 2> ends {};
};

} // namespace

TEST_CASE("lines reach the reader in order")
{
    Pipe pipe;
    LogBuffer buffer(pipe.ends[1], 1 << 20);
    CHECK(buffer.add("one"));
    CHECK(buffer.add("two"));
    buffer.flush();
    CHECK(buffer.pendingBytes() == 0);
    CHECK(pipe.readAvailable(100) == "one\ntwo\n");
}

TEST_CASE("a reader that doesn't read never blocks the writer, and lines without room are counted")
{
    Pipe pipe;
    constexpr std::size_t maxBytes = 100000;
    LogBuffer buffer(pipe.ends[1], maxBytes);
    const std::string line(999, 'x');
    std::uint64_t acceptedLines = 0;
    for (int i = 0; i < 1000; ++i) { // 1 MB: more than the pipe and the buffer hold
        acceptedLines += buffer.add(line) ? 1 : 0;
        buffer.flush();
    }
    CHECK(buffer.pendingBytes() <= maxBytes);
    CHECK(acceptedLines < 1000);
    CHECK(buffer.takeDroppedCount() == 1000 - acceptedLines);
    CHECK(buffer.takeDroppedCount() == 0);

    std::string all;
    while (all.size() < acceptedLines * 1000) {
        all += pipe.readAvailable(65536);
        buffer.flush();
    }
    CHECK(all.size() == acceptedLines * 1000); // no line is cut short or written twice
    CHECK(buffer.add("again"));
}

TEST_CASE("a descriptor that can't be written to leaves the lines pending")
{
    LogBuffer buffer(-1, 100);
    CHECK(buffer.add("one"));
    buffer.flush();
    CHECK(buffer.pendingBytes() == 4);
}
