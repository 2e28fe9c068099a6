// Connections to the port of links that never send a complete frame: a long frame before the hello, and
// several nodes with long frames at once. The links end, the memory held stays bounded, and other links work.
#include "support/LinksFixture.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

constexpr std::size_t maxInputBytes = 1 << 20;

/// The length prefix of a frame whose content never arrives completely.
std::string frameStart(std::uint32_t length)
{
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8)
        prefix += static_cast<char>(length >> shift & 0xff);
    return prefix;
}

} // namespace

TEST_CASE("a connection that begins with a long frame instead of a hello is closed at once")
{
    LinksFixture fixture(maxInputBytes);
    const auto stream = fixture.connect();
    stream->write(frameStart(100000));
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.ended == 1; }));
}

TEST_CASE("of several links with long incomplete frames the longest are ended, and others work")
{
    LinksFixture fixture(maxInputBytes);
    std::vector<std::shared_ptr<ByteStream>> streams;
    for (int i = 0; i < 4; ++i) {
        streams.push_back(fixture.connectAs("10.0.0." + std::to_string(i)));
        streams.back()->write(frameStart(1000000) + std::string(700000, 'x'));
    }
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.ended == 3; }));
    CHECK(fixture.events.lostOrigins == 3);
    const auto sound = fixture.connectAs("10.0.0.9");
    sound->write(encodeFrame(LinkHeartbeat {}));
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.events.heartbeats == 1; }));
}

TEST_CASE("a frame that exceeds the other node's limit is not sent, and the link stays up")
{
    LinksFixture fixture(maxInputBytes);
    CountingEvents events;
    PeerLinks sender { fixture.io, fixture.log, events, { { "127.0.0.2" }, 5 }, fixture.acceptor.port(),
        maxInputBytes * 4 };
    const VmId receiver { "127.0.0.1" };
    sender.setPeers({ receiver });
    sender.tick(monotonicNow());
    REQUIRE(Testing::runUntil(fixture.io, [&] { return sender.isUp(receiver); }));
    HopRequest request;
    request.body = std::string(maxInputBytes / 2, 'x');
    CHECK(sender.send(receiver, request));
    request.body = std::string(maxInputBytes * 2, 'x');
    CHECK_FALSE(sender.send(receiver, request));
    CHECK_FALSE(Testing::runUntil(fixture.io, [&] { return !sender.isUp(receiver); }));
}
