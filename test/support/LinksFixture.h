// The links of a node that counts their events, and streams that connect to them as other nodes do.
#pragma once

#include "support/RunLoop.h"
#include "transport/ByteStream.h"
#include "transport/PeerLinks.h"
#include "transport/StreamAcceptor.h"

namespace Ebonystack::Testing {

class CountingEvents : public PeerEvents {
public:
    LinkHeartbeat localHeartbeat() const override { return {}; }
    void onHeartbeat(const VmId&, const LinkHeartbeat&) override { ++heartbeats; }
    void onLinkUp(const VmId&, std::uint64_t) override { ++linksUp; }
    void onLinkDown(const VmId&) override { }
    void onResponse(const VmId&, HopResponse response) override { responses.push_back(std::move(response)); }
    void onResponseDiscarded(const VmId&, std::uint64_t number) override { discarded.push_back(number); }
    void onStoreChanges(const StoreChangesResponse&) override { }
    void onTokenResponse(const TokenResponse&) override { }
    void onRequest(const HopOrigin&, HopRequest request) override { requests.push_back(std::move(request)); }
    void onRequestRefused(const HopOrigin&, std::uint64_t number) override { refused.push_back(number); }
    void onCancel(const HopOrigin&, std::uint64_t) override { }
    void onResume(const HopOrigin&, const HopResume&) override { }
    void onOriginLost(const HopOrigin&, bool) override { ++lostOrigins; }
    void onStoreChangesPush(const VmId&, const StoreChangesPush&) override { }
    StoreChangesResponse storeChanges(const StoreChangesRequest&) const override { return {}; }
    TokenResponse grantTokens(const TokenRequest&) override { return {}; }

    std::vector<HopRequest> requests;
    std::vector<std::uint64_t> refused;
    std::vector<HopResponse> responses;
    std::vector<std::uint64_t> discarded;
    int heartbeats { 0 };
    int linksUp { 0 };
    int lostOrigins { 0 };
};

struct LinksFixture {
    explicit LinksFixture(std::size_t messageBytes)
        : admission(messageBytes)
        , links(io, log, events, { { "127.0.0.1" }, 9 }, 1, admission)
    {
    }

    std::shared_ptr<ByteStream> connect()
    {
        std::shared_ptr<ByteStream> opened;
        connectStream(io, "127.0.0.1:" + std::to_string(acceptor.port()), PeerLocation::OtherVm,
            std::chrono::seconds(1), [&](std::shared_ptr<ByteStream> stream) { opened = std::move(stream); });
        runUntil(io, [&] { return opened != nullptr; });
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
    MemoryAdmission admission;
    PeerLinks links;
    StreamAcceptor acceptor { io, "127.0.0.1:0", [this](auto socket) { links.accept(std::move(socket)); } };
    int ended { 0 };
};

} // namespace Ebonystack::Testing
