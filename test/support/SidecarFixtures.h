// Fakes of what surrounds the parts of a sidecar: a configuration with one service, and a transport to other
// nodes.
#pragma once

#include "lab/SimplePlatformAdapter.h"
#include "transport/EntryService.h"
#include "transport/SidecarState.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace Ebonystack::Testing {

/// A request and the VM that it was sent to.
struct SentRequest {
    VmId vm;
    HopRequest request;

    auto operator<=>(const SentRequest&) const = default;
};

/// Records what the entry service sends to nodes; the test supplies the responses.
class RecordingNodeTransport : public NodeTransport {
public:
    bool canReach(const VmId& vm) const override
    {
        return std::ranges::find(unreachable, vm) == unreachable.end();
    }
    bool sendRequest(const VmId& vm, HopRequest request) override
    {
        if (std::ranges::find(rejecting, vm) != rejecting.end())
            return false;
        sent.push_back({ vm, std::move(request) });
        return true;
    }
    void sendCancel(const VmId&, std::uint64_t number) override { cancelled.push_back(number); }
    std::optional<std::uint64_t> processAt(const VmId&) const override { return process; }
    void sendResume(const VmId&, const HopResume& resume) override { resumed = resume.numbers; }
    bool requestTokens(const VmId&, const TokenRequest& request) override
    {
        tokenRequests.push_back(request);
        return ownerReachable;
    }

    std::vector<SentRequest> sent;
    std::vector<std::uint64_t> cancelled;
    std::vector<std::uint64_t> resumed;
    std::vector<TokenRequest> tokenRequests;
    std::uint64_t process { 1 }; // incarnation of the node of every VM
    std::vector<VmId> unreachable;
    std::vector<VmId> rejecting; // their nodes accept no request of this size
    bool ownerReachable { true };
};

inline RouteConfig makeRoute(const std::string& name, std::string service, bool idempotent)
{
    RouteConfig route;
    route.id = { name };
    route.host = "example";
    route.pathPrefix = "/" + name + "/";
    route.idempotent = idempotent;
    route.timeout = std::chrono::milliseconds(200);
    route.targetLatency = std::chrono::milliseconds(200);
    route.maxAttempts = 3;
    route.shares = { { { std::move(service) }, 1 } };
    return route;
}

/// The idempotent route "read" and the non-idempotent route "order" of the service "registry", and one team
/// with the API key "k" and without a rate limit.
inline ServingConfig makeServingConfig()
{
    ServingConfig config;
    config.version = 1;
    config.routes = { makeRoute("read", "registry", true), makeRoute("order", "registry", false) };
    config.teams = { { { "team" }, { "k" }, std::nullopt, {} } };
    config.hasTeams = true;
    return config;
}

inline UpstreamRecord makeUpstreamRecord(
    const std::string& instance, const std::string& vm, std::string service = "registry")
{
    return { { instance }, { std::move(service) }, { "a" }, vm + ":80", { vm }, 10, false, Duration::zero() };
}

inline SidecarSettings makeSidecarSettings()
{
    SidecarSettings settings;
    settings.vm = { "10.0.0.1" };
    settings.service = { "registry" };
    settings.dataCentre = { "a" };
    settings.upstreamAddress = "10.0.0.1:80";
    return settings;
}

inline HttpRequest makeCallerRequest(const std::string& path, const std::string& id)
{
    HttpRequest request;
    request.head.method = "GET";
    request.head.target = path;
    request.head.fields.add("Host", "example");
    request.head.fields.add("X-Id", id);
    request.head.fields.add("X-Left", "1000");
    request.head.fields.add("Authorization", "Bearer k");
    return request;
}

/// An entry service with two upstreams of "registry" on other VMs.
struct EntryServiceFixture {
    explicit EntryServiceFixture(const SidecarSettings& settings = makeSidecarSettings())
        : state(io, settings, adapter, 1)
    {
        state.clock = [this] { return now; };
        state.config = std::make_shared<const ServingIndex>(makeServingConfig());
        state.directory.put(makeUpstreamRecord("i-2", "10.0.0.2"), { 0, 1 }, now);
        state.directory.put(makeUpstreamRecord("i-3", "10.0.0.3"), { 0, 2 }, now);
    }

    CallId begin(const std::string& path, const std::string& id = "1")
    {
        return begin(makeCallerRequest(path, id));
    }

    CallId begin(HttpRequest request)
    {
        return entry.begin(
            std::move(request), [this](HttpResponse response) { responses.push_back(std::move(response)); });
    }

    /// Delivers a response to the request that was sent last.
    void respond(HopOutcome outcome, std::uint16_t status = 200, HopReason reason = HopReason::None)
    {
        HopResponse response;
        response.number = transport.sent.back().request.number;
        response.outcome = outcome;
        response.reason = reason;
        response.status = status;
        response.reachedUpstream = outcome != HopOutcome::NotRun;
        const VmId vm = transport.sent.back().vm;
        entry.onResponse(vm, std::move(response));
    }

    void advanceTime(Duration time)
    {
        now += time;
        state.timers.advance(now);
    }

    Instant now { std::chrono::seconds(1000) };
    boost::asio::io_context io;
    SimplePlatformAdapter adapter;
    SidecarState state;
    RecordingNodeTransport transport;
    EntryService entry { state, transport, 1 };
    std::vector<HttpResponse> responses;
};

} // namespace Ebonystack::Testing
