// What an upstream says of itself in its responses, besides its load: the rate that it asks for, and that it
// is leaving. Only the node beside the upstream hears it, and tells the others.
#pragma once

#include "state/UpstreamRecord.h"

#include <compare>
#include <optional>

namespace Ebonystack {

struct UpstreamNotice {
    InstanceId instance; ///< empty while the upstream's record is not known
    std::optional<double> requestsPerSecond; ///< the most that the upstream takes from all callers together
    bool leaving { false }; ///< the upstream takes no new requests and will end

    auto operator<=>(const UpstreamNotice&) const = default;
};

} // namespace Ebonystack
