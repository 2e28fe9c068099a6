// Connections to the port of links that never send a complete frame: a long frame before the hello, and
// several nodes with long frames at once. The links end, the memory held stays bounded, and other links work.
#include "support/RunLoop.h"
#include "transport/ByteStream.h"
#include "transport/PeerLinks.h"
#include "transport/StreamAcceptor.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxInputBytes = 1 << 20;

class CountingEvents : public PeerEvents {
public:
    LinkHeartbeat localHeartbeat() const override { return {}; }
    void onHeartbeat(const VmId&, const LinkHeartbeat&) override { ++heartbeats; }
    void onLinkUp(const VmId&, std::uint64_t) override { }
    void onLinkDown(const VmId&) override { }
    void onResponse(const VmId&, HopResponse) override { }
    void onStoreChanges(const StoreChangesResponse&) override { }
    void onTokenResponse(const TokenResponse&) override { }
    void onRequest(const HopOrigin&, HopRequest) override { }
    void onCancel(const HopOrigin&, std::uint64_t) override { }
    void onResume(const HopOrigin&, const HopResume&) override { }
    void onOriginLost(const HopOrigin&, bool) override { ++lostOrigins; }
    void onStoreChangesPush(const VmId&, const StoreChangesPush&) override { }
    StoreChangesResponse storeChanges(const StoreChangesRequest&) const override { return {}; }
    TokenResponse grantTokens(const TokenRequest&) override { return {}; }

    int heartbeats { 0 };
    int lostOrigins { 0 };
};

/// The length prefix of a frame whose content never arrives completely.
std::string frameStart(std::uint32_t length)
{
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8)
        prefix += static_cast<char>(length >> shift & 0xff);
    return prefix;
}

struct LinksFixture {
    std::shared_ptr<ByteStream> connect()
    {
        std::shared_ptr<ByteStream> opened;
        connectStream(io, "127.0.0.1:" + std::to_string(acceptor.port()), 1s,
            [&](std::shared_ptr<ByteStream> stream) { opened = std::move(stream); });
        Testing::runUntil(io, [&] { return opened != nullptr; });
        opened->start([](std::string_view) {}, [this](StreamEnd) { ++ended; });
        return opened;
    }

    std::shared_ptr<ByteStream> connectAs(const std::string& vm)
    {
        auto stream = connect();
        stream->write(encodeFrame(LinkHello { { vm }, 1 }));
        return stream;
    }

    boost::asio::io_context io;
    DecisionLog log;
    CountingEvents events;
    PeerLinks links { io, log, events, { { "127.0.0.1" }, 9 }, 1, maxInputBytes };
    StreamAcceptor acceptor { io, "127.0.0.1:0", [this](auto socket) { links.accept(std::move(socket)); } };
    int ended { 0 };
};

} // namespace

TEST_CASE("a connection that begins with a long frame instead of a hello is closed at once")
{
    LinksFixture fixture;
    const auto stream = fixture.connect();
    stream->write(frameStart(100000));
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.ended == 1; }));
}

TEST_CASE("of several links with long incomplete frames the longest are ended, and others work")
{
    LinksFixture fixture;
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
    LinksFixture fixture;
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
