// One request of a caller, or of the upstream beside this node, from its arrival to its answer.
#pragma once

#include "coordination/TimerService.h"
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
    HttpRequest request; ///< its fields as the upstream is to get them
    std::function<void(HttpResponse)> respond;
    std::shared_ptr<const ServingIndex> config; ///< keeps `route` alive
    const RouteConfig* route { nullptr };
    ServiceName service; ///< the share of the route that it fell to
    std::optional<TeamId> team;
    int teamPriority { 0 };
    bool isNested { false }; ///< a call of the upstream beside this node
    bool isCallerRetry { false }; ///< was refused before and has come back as advised
    std::string requestId; ///< the caller's
    Instant receivedAt;
    Instant deadline; ///< the caller or the operator waits no longer
    std::vector<VmId> tried;
    int dispatches { 0 };
    std::uint32_t upstreamAttempts { 0 }; ///< at upstreams
    bool mayHaveRun { false };
    bool retried { false };
    std::uint64_t hop { 0 }; ///< the attempt under way; 0: none
    VmId hopVm;
    std::optional<HopResponse> lastFailure; ///< of an upstream, delivered if nothing better comes
    std::optional<TimerId> timer;
};

using EntryCallPtr = std::shared_ptr<EntryCall>;

} // namespace Ebonystack
