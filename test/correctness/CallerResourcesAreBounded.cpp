// The bounds on the connections, memory and time that callers can use on a node, and the time for which a
// node counts as busy with them.
#include "support/RunLoop.h"
#include "support/SidecarFixtures.h"
#include "transport/ByteStream.h"
#include "transport/CallerServer.h"
#include "transport/StreamAcceptor.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

struct CallerServerFixture {
    explicit CallerServerFixture(std::uint32_t descriptors, std::uint32_t memoryMegabytes)
        : server(stateWith(descriptors, memoryMegabytes), entry.entry)
    {
    }

    SidecarState& stateWith(std::uint32_t descriptors, std::uint32_t memoryMegabytes)
    {
        entry.state.settings.descriptors = descriptors;
        entry.state.settings.memoryMegabytes = memoryMegabytes;
        return entry.state;
    }

    /// Opens a connection as a caller. Bytes received on it are appended to `received`.
    std::shared_ptr<ByteStream> connect()
    {
        std::shared_ptr<ByteStream> opened;
        connectStream(entry.io, "127.0.0.1:" + std::to_string(acceptor.port()), PeerLocation::SameVm, 1s,
            [&](std::shared_ptr<ByteStream> stream) { opened = std::move(stream); });
        const std::size_t before = accepted;
        runUntil([&] { return opened && accepted > before; });
        REQUIRE(opened);
        opened->start([this](std::string_view bytes) { received += bytes; }, [this](StreamEnd) { ++ended; });
        return opened;
    }

    template <typename Condition> bool runUntil(Condition&& condition)
    {
        return Testing::runUntil(entry.io, condition);
    }

    /// A caller whose response exceeds its window, and which reads when the test says so.
    boost::asio::ip::tcp::socket requestLongResponse()
    {
        using Tcp = boost::asio::ip::tcp;
        Tcp::socket caller(entry.io);
        caller.open(Tcp::v4());
        caller.set_option(boost::asio::socket_base::receive_buffer_size(32 << 10));
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), acceptor.port() });
        caller.non_blocking(true);
        const std::string request = "GET /read/1 HTTP/1.1\r\nHost: example\r\nX-Id: 1\r\nX-Left: 20000\r\n"
                                    "Authorization: Bearer k\r\n\r\n";
        caller.write_some(boost::asio::buffer(request));
        const std::size_t before = entry.transport.sent.size();
        REQUIRE(runUntil([&] { return entry.transport.sent.size() > before; }));
        return caller;
    }

    void respondAtLength()
    {
        HopResponse response;
        response.number = entry.transport.sent.back().request.number;
        response.outcome = HopOutcome::Responded;
        response.status = 200;
        response.reachedUpstream = true;
        response.body = std::string(longBodyBytes, 'x');
        const VmId vm = entry.transport.sent.back().vm;
        entry.entry.onResponse(vm, std::move(response));
    }

    /// Reads for as long as `condition` does not hold; returns whether it holds.
    template <typename Condition> bool readUntil(boost::asio::ip::tcp::socket& caller, Condition&& condition)
    {
        return runUntil([&] {
            std::string buffer(32 << 10, '\0');
            boost::system::error_code ignored;
            received.append(buffer, 0, caller.read_some(boost::asio::buffer(buffer), ignored));
            return condition();
        });
    }

    static constexpr std::size_t longBodyBytes = 200'000;

    EntryServiceFixture entry;
    CallerServer server;
    std::size_t accepted { 0 };
    StreamAcceptor acceptor { entry.io, "127.0.0.1:0", [this](auto socket) {
                                 ++accepted;
                                 server.accept(std::move(socket));
                             } };
    std::string received;
    int ended { 0 };
};

} // namespace

TEST_CASE("for each connection of a caller beyond the limit, one idle connection is closed")
{
    CallerServerFixture fixture(10, 100); // 6 of the 10 descriptors are for callers
    std::vector<std::shared_ptr<ByteStream>> streams;
    streams.reserve(8);
    for (int i = 0; i < 8; ++i)
        streams.push_back(fixture.connect());
    fixture.runUntil([&] { return fixture.ended == 2; });
    CHECK(fixture.ended == 2);
    CHECK(fixture.server.connectionCount() == 6);
}

TEST_CASE("a request that exceeds the memory for requests is refused with status 503 (not run)")
{
    CallerServerFixture fixture(100, 1); // about 200 KB for requests
    std::vector<std::shared_ptr<ByteStream>> streams;
    streams.reserve(8);
    for (int i = 0; i < 8; ++i) {
        streams.push_back(fixture.connect());
        streams.back()->write("POST /read/1 HTTP/1.1\r\nHost: example\r\nContent-Length: 60000\r\n\r\n"
            + std::string(50000, 'x'));
    }
    fixture.runUntil([&] { return fixture.ended > 0; });
    CHECK(fixture.received.find("HTTP/1.1 503") == 0);
    CHECK(fixture.server.connectionCount() < 8);
    CHECK(fixture.entry.transport.sent.empty());
}

// Guards against requests of other callers being refused or lost beside long ones.
TEST_CASE(
    "a long request without memory waits unread while short ones go on, and is served when there is some")
{
    CallerServerFixture fixture(100, 100);
    MemoryAdmission& memory = fixture.entry.state.memory;
    std::optional<MemoryBudget::Reservation> others(memory.budget());
    others->resize(memory.limit() / 2);
    const auto stream = fixture.connect();
    const std::string head = " /read/1 HTTP/1.1\r\nHost: example\r\nX-Id: 1\r\nX-Left: 20000\r\n"
                             "Authorization: Bearer k\r\n";
    stream->write("POST" + head + "Content-Length: 600000\r\n\r\n" + std::string(600'000, 'x'));
    const auto shortStream = fixture.connect();
    shortStream->write("GET" + head + "\r\n");
    CHECK(fixture.runUntil([&] { return fixture.entry.transport.sent.size() == 1; }));
    CHECK(fixture.entry.transport.sent[0].request.body.empty());
    CHECK_FALSE(fixture.runUntil([&] { return fixture.entry.transport.sent.size() == 2; }));
    SUBCASE("memory is released in time")
    {
        others.reset();
        fixture.entry.state.timers.advance(monotonicNow());
        REQUIRE(fixture.runUntil([&] { return fixture.entry.transport.sent.size() == 2; }));
        CHECK(fixture.entry.transport.sent[1].request.body.size() == 600'000);
        CHECK(memory.budget().heldBytes() >= 600'000);
        CHECK(memory.budget().heldBytes() < 700'000); // once, though the call and the hop request have it
        fixture.entry.respond(HopOutcome::Responded);
        fixture.entry.transport.sent.clear();
        CHECK(memory.budget().heldBytes() < 1000);
    }
    SUBCASE("no memory is released")
    {
        fixture.entry.state.timers.advance(monotonicNow() + 3s);
        CHECK(fixture.runUntil([&] { return fixture.ended == 1; }));
        CHECK(fixture.received.find("HTTP/1.1 503") != std::string::npos);
        CHECK(memory.refusals(MemoryUse::CallerRequest) == 1);
    }
}

// Guards against callers that announce a long body and don't send it.
TEST_CASE("an announced length takes memory only while the body arrives")
{
    CallerServerFixture fixture(100, 100);
    const MemoryBudget& budget = fixture.entry.state.memory.budget();
    const auto stream = fixture.connect();
    stream->write("POST /read/1 HTTP/1.1\r\nHost: example\r\nContent-Length: 600000\r\n\r\nstart");
    CHECK(fixture.runUntil([&] { return budget.heldBytes() == 600'000; }));
    fixture.server.tick(monotonicNow() + 2s);
    CHECK(budget.heldBytes() < 1000);
    stream->write("more");
    CHECK(fixture.runUntil([&] { return budget.heldBytes() == 600'000; }));
    stream->close();
    CHECK(fixture.runUntil([&] { return budget.heldBytes() == 0; }));
}

TEST_CASE("callers that keep sending while their requests are served hold no more memory than others")
{
    CallerServerFixture fixture(100, 1); // about 200 KB for requests
    std::vector<std::shared_ptr<ByteStream>> streams;
    for (int i = 0; i < 8; ++i) {
        streams.push_back(fixture.connect());
        streams.back()->write("GET /read/1 HTTP/1.1\r\nHost: example\r\nX-Id: 1\r\nX-Left: 1000\r\n"
                              "Authorization: Bearer k\r\n\r\n");
    }
    fixture.runUntil([&] { return fixture.entry.transport.sent.size() == 8; });
    for (const auto& stream : streams)
        stream->write(std::string(50000, 'x'));
    fixture.runUntil([&] { return fixture.ended > 3; });
    CHECK(fixture.ended > 3);
}

TEST_CASE("a request whose body stops arriving is refused as too slow")
{
    CallerServerFixture fixture(100, 100);
    const auto stream = fixture.connect();
    stream->write("POST /read/1 HTTP/1.1\r\nHost: example\r\nContent-Length: 10\r\n\r\nhalf");
    fixture.runUntil([&] { return fixture.server.busyCount() == 1; });
    fixture.server.tick(monotonicNow() + 5s);
    CHECK(fixture.server.connectionCount() == 1);
    fixture.server.tick(monotonicNow() + 11s);
    fixture.runUntil([&] { return fixture.ended > 0; });
    CHECK(fixture.received.find("Ebony-Result: 705") != std::string::npos);
}

TEST_CASE("a request whose header stops arriving is refused as too slow")
{
    CallerServerFixture fixture(100, 100);
    const auto stream = fixture.connect();
    stream->write("GET /read/1 HTTP/1.1\r\nHost: exa");
    fixture.runUntil([&] { return fixture.server.busyCount() == 1; });
    fixture.server.tick(monotonicNow() + 4s);
    fixture.runUntil([&] { return fixture.ended > 0; });
    CHECK(fixture.received.find("Ebony-Result: 705") != std::string::npos);
}

TEST_CASE(
    "the server stays busy until a response is written, also on a connection that closes after the response")
{
    CallerServerFixture fixture(100, 100);
    const auto stream = fixture.connect();
    stream->write("GET /read/1 HTTP/1.1\r\nHost: example\r\nX-Id: 1\r\nX-Left: 1000\r\n"
                  "Authorization: Bearer k\r\n\r\n");
    fixture.runUntil([&] { return !fixture.entry.transport.sent.empty(); });
    REQUIRE(fixture.entry.transport.sent.size() == 1);
    // A node that is shutting down closes connections after their responses.
    fixture.entry.state.shutdownDeadline = fixture.entry.now + 5s;
    fixture.entry.respond(HopOutcome::Responded);
    CHECK(fixture.entry.entry.openCount() == 0);
    CHECK(fixture.server.busyCount() == 1);
    fixture.runUntil([&] { return fixture.ended > 0; });
    CHECK(fixture.server.busyCount() == 0);
    CHECK(fixture.received.find("HTTP/1.1 200") == 0);
}

// Guards against a planned stop that cuts off what the system has buffered and the caller has not read.
TEST_CASE("the server stays busy until its caller's system has the whole response")
{
    bool closes = false;
    SUBCASE("on a connection that is kept") { }
    SUBCASE("on a connection that closes after the response") { closes = true; }
    CallerServerFixture fixture(100, 100);
    auto caller = fixture.requestLongResponse();
    if (closes)
        fixture.entry.state.shutdownDeadline = fixture.entry.now + 5s;
    fixture.respondAtLength();
    CHECK_FALSE(fixture.runUntil([&] { return fixture.server.busyCount() == 0; }));
    CHECK(fixture.readUntil(caller, [&] { return fixture.server.busyCount() == 0; }));
    CHECK(fixture.readUntil(
        caller, [&] { return fixture.received.size() > CallerServerFixture::longBodyBytes; }));
}

TEST_CASE("a caller that leaves without having read its response is noticed at once")
{
    CallerServerFixture fixture(100, 100);
    auto caller = fixture.requestLongResponse();
    fixture.respondAtLength();
    REQUIRE_FALSE(fixture.runUntil([&] { return fixture.server.busyCount() == 0; }));
    caller.close();
    CHECK(fixture.runUntil([&] { return fixture.server.connectionCount() == 0; }));
}

// Guards against a bound on reading that ends before the time for which the caller waits.
TEST_CASE("a slow reader keeps its response until its deadline, and is counted")
{
    CallerServerFixture fixture(100, 100);
    auto caller = fixture.requestLongResponse(); // with a deadline of 20 s
    fixture.respondAtLength();
    const Instant start = monotonicNow();
    fixture.runUntil([&] { return fixture.server.busyCount() == 0; });
    fixture.server.tick(start + 19s);
    CHECK(fixture.server.connectionCount() == 1);
    CHECK(fixture.server.slowReaders().count == 1);
    CHECK(fixture.server.slowReaders().unreadBytes > 0);
    CHECK(fixture.entry.state.counters.slowReaders == 1);
    fixture.server.tick(start + 21s);
    CHECK(fixture.server.connectionCount() == 0);
    CHECK(fixture.server.slowReaders() == SlowReaders {});
    CHECK(fixture.entry.state.counters.slowReadersCut["deadline"] == 1);
}

TEST_CASE("of slow readers that hold too much memory the one with the longest response is cut off")
{
    CallerServerFixture fixture(100, 2); // about 400 KB for unread responses
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(fixture.requestLongResponse());
        fixture.respondAtLength();
    }
    fixture.readUntil(callers.back(), [] { return false; });
    fixture.entry.state.timers.advance(monotonicNow());
    CHECK(fixture.server.connectionCount() == 3); // the caller that reads makes room for the others
    callers.push_back(fixture.requestLongResponse());
    fixture.respondAtLength();
    fixture.runUntil([] { return false; });
    fixture.entry.state.timers.advance(monotonicNow());
    CHECK(fixture.server.connectionCount() == 3);
    CHECK(fixture.entry.state.counters.slowReadersCut["memory"] == 1);
}
