// A hop service whose upstream is a ScriptedUpstream on loopback.
#pragma once

#include "support/RunLoop.h"
#include "support/ScriptedUpstream.h"
#include "support/SidecarFixtures.h"
#include "transport/HopService.h"
#include "transport/UpstreamConnectionPool.h"

namespace Ebonystack::Testing {

struct HopServiceFixture {
    explicit HopServiceFixture(ScriptedUpstream::Script script, std::uint32_t memoryMegabytes = 256)
        : state(io, settingsWith(memoryMegabytes), adapter, 1)
        , upstream(io, std::move(script))
    {
        state.settings.upstreamAddress = upstream.address();
        UpstreamRecord record = makeUpstreamRecord("i-1", "127.0.0.1");
        record.address = upstream.address();
        state.directory.put(record, { 0, 1 }, state.now());
        hop.refreshUpstream(state.now());
    }

    static SidecarSettings settingsWith(std::uint32_t memoryMegabytes)
    {
        SidecarSettings settings = makeSidecarSettings();
        settings.memoryMegabytes = memoryMegabytes;
        return settings;
    }

    static HopRequest makeRequest(std::uint64_t number, bool idempotent)
    {
        HopRequest request;
        request.number = number;
        request.route = { idempotent ? "read" : "order" };
        request.remainingTime = std::chrono::seconds(2);
        request.maxGateWait = request.remainingTime;
        request.idempotent = idempotent;
        request.method = "GET";
        request.target = "/x/1";
        request.fields.add("Host", "example");
        request.fields.add("X-Id", std::to_string(number));
        return request;
    }

    /// Sends a request and runs the event loop until its response arrives, for 1 s at most.
    void requestAndWait(std::uint64_t number, bool idempotent)
    {
        const std::size_t before = responses.size();
        hop.request(origin, makeRequest(number, idempotent));
        runUntil([&] { return responses.size() > before; });
    }

    template <typename Condition> void runUntil(Condition&& condition) { Testing::runUntil(io, condition); }

    boost::asio::io_context io;
    SimplePlatformAdapter adapter;
    SidecarState state;
    ScriptedUpstream upstream;
    std::vector<HopResponse> responses;
    bool linkUp { true };
    UpstreamConnectionPool pool { io, upstream.address(), adapter.fieldNames(), state.memory };
    HopService hop { state, pool, [this](const HopOrigin&, HopResponse response) {
                        if (linkUp)
                            responses.push_back(std::move(response));
                        return true; // also while the link is down: the loss of a link is not known at once
                    } };
    const HopOrigin origin { { "10.0.0.9" }, 7 };
};

} // namespace Ebonystack::Testing
