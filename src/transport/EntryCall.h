// The state of one request at the entry node, from its arrival to its response. The request is a caller's or
// a nested call of the upstream beside this node.
#pragma once

#include "coordination/TimerService.h"
#include "coordination/UpstreamRuns.h"
#include "protocol/PeerFrame.h"
#include "state/ServingConfig.h"
#include "transport/HttpCodec.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack {

using CallId = std::uint64_t;

struct EntryCall {
    CallId id { 0 };
    HttpRequest request; ///< after `prepare`, its fields are those sent to the upstream
    std::function<void(HttpResponse)> respond;
    std::shared_ptr<const ServingIndex> config; ///< keeps `route` alive
    const RouteConfig* route { nullptr };
    ServiceName service; ///< selected by the route's traffic split
    std::optional<TeamId> team;
    int teamPriority { 0 };
    bool isNested { false }; ///< made by the upstream beside this node
    bool isCallerRetry { false }; ///< seems to be sent again after a refusal with Retry-After
    std::string requestId; ///< set by the caller
    Instant receivedAt; ///< its start
    Instant readAt; ///< when it was complete
    Instant deadline; ///< the earlier of the caller's deadline and the route's timeout
    std::vector<VmId> triedVms; ///< not selected again
    std::vector<VmId> rejectingVms; ///< their upstreams rejected the request without running it
    int dispatches {
        0
    }; ///< hop requests sent to nodes, without further offers to upstreams that rejected it
    int offers { 0 }; ///< dispatches that an upstream rejected
    std::uint32_t upstreamAttempts { 0 }; ///< upstreams that may have run it
    bool mayHaveRun { false };
    bool retried { false };
    double repeatShare { 0 }; ///< the probability that a repeated run has made this nested call
    double treeValue { 0 }; ///< see HopRequest::treeValue
    RunId parent {
        0
    }; ///< the run at the upstream beside this node that has made this nested call; 0: unknown
    bool wasRefused { false }; ///< a node refused to run it, or to run a nested call below it
    std::uint64_t hopNumber { 0 }; ///< of the hop request without a response; 0: none
    VmId hopVm; ///< of the last dispatch
    std::uint64_t hopProcess { 0 }; ///< incarnation of the node process that the last dispatch was sent to
    std::optional<HopResponse> lastFailure; ///< a server error, delivered if no retry succeeds
    std::optional<TimerId> timer; ///< for the deadline, set at the first dispatch
};

using EntryCallPtr = std::shared_ptr<EntryCall>;

} // namespace Ebonystack
