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
        : entry(settingsWith(descriptors, memoryMegabytes))
        , server(entry.state, entry.entry)
    {
    }

    static SidecarSettings settingsWith(std::uint32_t descriptors, std::uint32_t memoryMegabytes)
    {
        SidecarSettings settings = makeSidecarSettings();
        settings.descriptors = descriptors;
        settings.memoryMegabytes = memoryMegabytes;
        return settings;
    }

    /// Begins a request with a body of `announced` bytes, of which it sends `sent`.
    void post(ByteStream& stream, const std::string& path, const std::string& id, std::size_t announced,
        std::size_t sent, std::chrono::milliseconds left = 20s)
    {
        stream.write("POST " + path + " HTTP/1.1\r\nHost: example\r\nX-Id: " + id + "\r\nX-Left: "
            + std::to_string(left.count()) + "\r\nAuthorization: Bearer k\r\nContent-Length: "
            + std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x'));
    }

    /// Of the route of the reads and that of the orders.
    void setRouteTimeout(Duration timeout)
    {
        ServingConfig config = makeServingConfig();
        for (RouteConfig& route : config.routes)
            route.timeout = timeout;
        entry.state.config = std::make_shared<const ServingIndex>(config);
    }

    std::size_t sentCount() const { return entry.transport.sent.size(); }

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

    void respondAtLength(std::size_t bytes = longBodyBytes)
    {
        HopResponse response;
        response.number = entry.transport.sent.back().request.number;
        response.outcome = HopOutcome::Responded;
        response.status = 200;
        response.reachedUpstream = true;
        response.body = std::string(bytes, 'x');
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
TEST_CASE("a long request without memory waits unread while short ones go on, and is served if there is some")
{
    constexpr std::size_t bodyBytes = 600'000;
    CallerServerFixture fixture(100, 100);
    ServingConfig config = makeServingConfig();
    config.routes[1].timeout = 10s; // of the orders
    fixture.entry.state.config = std::make_shared<const ServingIndex>(config);
    MemoryAdmission& memory = fixture.entry.state.memory;
    std::optional<MemoryBudget::Reservation> others(memory.budget());
    others->resize(memory.limit() / 2);
    const auto stream = fixture.connect();
    fixture.post(*stream, "/order/1", "1", bodyBytes, bodyBytes);
    const auto shortStream = fixture.connect();
    fixture.post(*shortStream, "/read/1", "2", 0, 0);
    CHECK(fixture.runUntil([&] { return fixture.sentCount() == 1; }));
    CHECK(fixture.entry.transport.sent[0].request.body.empty());
    CHECK_FALSE(fixture.runUntil([&] { return fixture.sentCount() == 2; }));
    SUBCASE("memory is released in time")
    {
        others.reset();
        fixture.entry.state.timers.advance(monotonicNow());
        REQUIRE(fixture.runUntil([&] { return fixture.sentCount() == 2; }));
        const HopRequest& request = fixture.entry.transport.sent[1].request;
        CHECK(request.body.size() == bodyBytes);
        CHECK(request.remainingTime < 9500ms); // its time ran while it waited
        CHECK(memory.budget().heldBytes() >= bodyBytes);
        CHECK(memory.budget().heldBytes()
            < bodyBytes + 1000); // once, though the call and the hop request have it
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
    SUBCASE("the caller leaves while it waits")
    {
        stream->close();
        others.reset();
        fixture.runUntil([] { return false; });
        fixture.entry.state.timers.advance(monotonicNow());
        fixture.runUntil([] { return false; });
        CHECK(fixture.sentCount() == 1);
        CHECK(fixture.server.connectionCount() == 1);
    }
}

// Guards against the least worthy long request being served first.
TEST_CASE("of long requests that wait the one of the most worthy route is read first, and no other before it")
{
    constexpr std::size_t bodyBytes = 20U << 20;
    CallerServerFixture fixture(100, 100); // memory for one of them
    ServingConfig config = makeServingConfig();
    config.limits.bodyBytes = bodyBytes;
    config.routes[0].priority = 3;
    config.routes[1].priority = 0;
    fixture.entry.state.config = std::make_shared<const ServingIndex>(config);
    MemoryAdmission& memory = fixture.entry.state.memory;
    std::optional<MemoryBudget::Reservation> others(memory.budget());
    others->resize(memory.limit() / 2 - (5U << 20));
    const auto lessWorthy = fixture.connect();
    fixture.post(*lessWorthy, "/read/1", "1", bodyBytes, 0);
    const auto mostWorthy = fixture.connect();
    fixture.post(*mostWorthy, "/order/1", "2", bodyBytes, 0);
    const auto shorter = fixture.connect();
    fixture.runUntil([&] { return fixture.server.busyCount() == 2; });
    fixture.post(*shorter, "/read/1", "3", 2U << 20, 0);
    fixture.runUntil([&] { return fixture.server.busyCount() == 3; });
    CHECK(memory.budget().heldBytes() < memory.limit() / 2 - (4U << 20)); // none of them is read
    others.reset();
    fixture.entry.state.timers.advance(monotonicNow() + 50ms);
    CHECK(memory.budget().heldBytes() >= bodyBytes);
    mostWorthy->write(std::string(bodyBytes, 'x'));
    REQUIRE(fixture.runUntil([&] { return fixture.sentCount() == 1; }));
    CHECK(fixture.entry.transport.sent[0].request.route == RouteId { "order" });
}

// Guards against callers that announce a long body and don't send it, or trickle it.
TEST_CASE("an announced length takes memory only while the body arrives in time")
{
    CallerServerFixture fixture(100, 100);
    fixture.setRouteTimeout(20s);
    const MemoryBudget& budget = fixture.entry.state.memory.budget();
    const auto stream = fixture.connect();
    fixture.post(*stream, "/read/1", "1", 600'000, 5, 4s);
    CHECK(fixture.runUntil([&] { return budget.heldBytes() == 600'000; }));
    const Instant start = monotonicNow();
    fixture.server.tick(start + 900ms);
    CHECK(budget.heldBytes() == 600'000);
    fixture.server.tick(start + 1500ms);
    CHECK(budget.heldBytes() < 1000);
    stream->write("more");
    fixture.runUntil([] { return false; });
    CHECK(budget.heldBytes() < 1000);
    fixture.server.tick(start + 4500ms);
    CHECK(fixture.runUntil([&] { return fixture.ended == 1; }));
    CHECK(fixture.received.find("Ebony-Result: 705") != std::string::npos);
    CHECK(fixture.entry.transport.sent.empty());
    CHECK(budget.heldBytes() == 0);
}

// Guards against an upstream being given the time that reading a request has taken.
TEST_CASE("the time that a request takes to arrive is part of its caller's time")
{
    EntryServiceFixture fixture;
    fixture.entry.begin(
        makeCallerRequest("/read/1", "1"), [](const HttpResponse&) {}, 150ms);
    REQUIRE(fixture.transport.sent.size() == 1);
    CHECK(fixture.transport.sent[0].request.remainingTime <= 150ms);
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
    fixture.setRouteTimeout(20s);
    const auto stream = fixture.connect();
    stream->write("POST /read/1 HTTP/1.1\r\nHost: example\r\nContent-Length: 10\r\n\r\nhalf");
    fixture.runUntil([&] { return fixture.server.busyCount() == 1; });
    fixture.server.tick(monotonicNow() + 5s);
    CHECK(fixture.server.connectionCount() == 1);
    fixture.server.tick(monotonicNow() + 11s);
    fixture.runUntil([&] { return fixture.ended > 0; });
    CHECK(fixture.received.find("Ebony-Result: 705") != std::string::npos);
}

// Guards against callers that hold the memory of requests and send nothing keeping others out.
TEST_CASE("requests that have stopped arriving are refused when others need their memory")
{
    CallerServerFixture fixture(100, 4); // about 800 KB for short requests, 1.2 MB for long ones
    fixture.setRouteTimeout(20s);
    std::vector<std::shared_ptr<ByteStream>> streams;
    for (int i = 0; i < 5; ++i) {
        streams.push_back(fixture.connect());
        fixture.post(*streams.back(), "/order/1", "stopped", 200'000, 199'999);
    }
    fixture.runUntil([&] { return fixture.entry.state.memory.budget().heldBytes() > 800'000; });
    const Instant slowFrom = monotonicNow() + 1s;
    fixture.runUntil([&] { return monotonicNow() > slowFrom; });
    const auto caller = fixture.connect();
    SUBCASE("a short one")
    {
        fixture.post(*caller, "/order/1", "1", 200'000, 100'000);
        fixture.runUntil([] { return false; });
        caller->write(std::string(100'000, 'x'));
        CHECK(fixture.runUntil([&] { return fixture.sentCount() == 1; }));
    }
    SUBCASE("a long one")
    {
        fixture.post(*caller, "/order/1", "1", 700'000, 700'000);
        Testing::runUntil(
            fixture.entry.io, [&] { return fixture.sentCount() == 1; }, 1s,
            [&] { fixture.entry.state.timers.advance(monotonicNow()); });
        CHECK(fixture.sentCount() == 1);
    }
    CHECK(fixture.received.find("HTTP/1.1 503") != std::string::npos);
}

// Guards against callers that keep their connection and memory with a byte now and then.
TEST_CASE("a body that goes on arriving is refused at the route's timeout, whatever its caller's deadline is")
{
    CallerServerFixture fixture(100, 100);
    fixture.setRouteTimeout(5s);
    const auto stream = fixture.connect();
    fixture.post(*stream, "/order/1", "1", 1000, 10, 1h);
    const auto unlimited = fixture.connect(); // without a deadline
    unlimited->write("POST /order/1 HTTP/1.1\r\nHost: example\r\nContent-Length: 1000\r\n\r\n");
    fixture.runUntil([&] { return fixture.server.busyCount() == 2; });
    fixture.server.tick(monotonicNow() + 4s);
    CHECK(fixture.server.connectionCount() == 2);
    stream->write("x");
    unlimited->write("x");
    fixture.runUntil([] { return false; });
    fixture.server.tick(monotonicNow() + 6s);
    fixture.runUntil([&] { return fixture.ended == 2; });
    CHECK(fixture.server.connectionCount() == 0);
    CHECK(fixture.received.find("Ebony-Result: 705") != std::string::npos);
    CHECK(fixture.entry.transport.sent.empty());
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

// Guards against callers being disconnected while memory is free, and against ready responses that find none.
TEST_CASE(
    "slow readers keep their responses while there is memory; then the slowest is cut off for a response")
{
    CallerServerFixture fixture(100, 100); // 60 MB for messages
    MemoryAdmission& memory = fixture.entry.state.memory;
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(fixture.requestLongResponse());
        fixture.respondAtLength(16U << 20);
    }
    Instant nextRead = monotonicNow();
    Testing::runUntil(
        fixture.entry.io, [] { return false; }, 1100ms,
        [&] {
            if (monotonicNow() < nextRead)
                return;
            nextRead += 20ms;
            for (const std::size_t reading : { 0, 2 }) { // the second caller reads nothing
                std::string buffer(32 << 10, '\0');
                boost::system::error_code ignored;
                callers[reading].read_some(boost::asio::buffer(buffer), ignored);
            }
        });
    fixture.server.tick(monotonicNow());
    const std::size_t held = memory.budget().heldBytes();
    CHECK(held > 20U << 20);
    CHECK(fixture.server.connectionCount() == 3);
    CHECK_FALSE(memory.admits(MemoryUse::CallerRequest, memory.limit() - held + 1000));
    CHECK(fixture.server.connectionCount() == 3); // a new request is worth less than a response that is ready
    CHECK(memory.admits(MemoryUse::Response, memory.limit() - held + 1000));
    CHECK(fixture.server.connectionCount() == 2);
    CHECK(fixture.entry.state.counters.slowReadersCut["memory"] == 1);
    for (const std::size_t kept : { 0, 2 }) {
        fixture.received.clear();
        CHECK(fixture.readUntil(callers[kept], [&] { return fixture.received.size() > 4U << 20; }));
    }
}

TEST_CASE("the next request of a caller is read once it has read its responses")
{
    CallerServerFixture fixture(100, 50);
    auto caller = fixture.requestLongResponse();
    caller.write_some(boost::asio::buffer(
        std::string("GET /read/1 HTTP/1.1\r\nHost: example\r\nX-Id: 2\r\nX-Left: 20000\r\n"
                    "Authorization: Bearer k\r\n\r\n")));
    fixture.respondAtLength(8U << 20);
    CHECK_FALSE(Testing::runUntil(
        fixture.entry.io, [&] { return fixture.sentCount() == 2; }, 300ms,
        [&] {
            fixture.entry.state.timers.advance(monotonicNow());
            fixture.server.tick(monotonicNow());
        }));
    CHECK(fixture.readUntil(caller, [&] {
        fixture.server.tick(monotonicNow());
        return fixture.sentCount() == 2;
    }));
}
