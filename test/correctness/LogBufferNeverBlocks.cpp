// The log's way to a reader that is slow, fast or gone.
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
    /// Reads what is there, at most `most` bytes.
    std::string take(std::size_t most)
    {
        std::string text(most, '\0');
        const ssize_t count = read(ends[0], text.data(), most);
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    std::array<int, 2> ends {};
};

} // namespace

TEST_CASE("lines reach a reader in their order")
{
    Pipe pipe;
    LogBuffer buffer(pipe.ends[1], 1 << 20);
    CHECK(buffer.add("one"));
    CHECK(buffer.add("two"));
    buffer.flush();
    CHECK(buffer.pendingBytes() == 0);
    CHECK(pipe.take(100) == "one\ntwo\n");
}

TEST_CASE("a reader that takes nothing does not hold the writer up, and what has no room is counted")
{
    Pipe pipe;
    constexpr std::size_t maxBytes = 100000;
    LogBuffer buffer(pipe.ends[1], maxBytes);
    const std::string line(999, 'x');
    std::uint64_t taken = 0;
    for (int i = 0; i < 1000; ++i) { // a megabyte: more than a pipe and the buffer hold
        taken += buffer.add(line) ? 1 : 0;
        buffer.flush();
    }
    CHECK(buffer.pendingBytes() <= maxBytes);
    CHECK(taken < 1000);
    CHECK(buffer.takeDroppedCount() == 1000 - taken);
    CHECK(buffer.takeDroppedCount() == 0);

    std::string all;
    while (all.size() < taken * 1000) {
        all += pipe.take(65536);
        buffer.flush();
    }
    CHECK(all.size() == taken * 1000); // whole lines, none twice
    CHECK(buffer.add("again"));
}

TEST_CASE("a reader that is gone does no harm")
{
    LogBuffer buffer(-1, 100);
    CHECK(buffer.add("one"));
    buffer.flush();
    CHECK(buffer.pendingBytes() == 4);
}
