// What the platform publishes about one upstream.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Ebonystack {

/// An upstream's instance: it changes whenever the upstream starts anew.
using InstanceId = Name<struct InstanceTag>;

struct UpstreamRecord {
    InstanceId instance;
    ServiceName service;
    DataCentre dataCentre;
    std::string address; ///< "ip:port", reachable from its own VM only
    VmId vm; ///< the IP number of the VM that it runs in
    std::uint32_t slots { 1 }; ///< requests that it runs at the same time
    bool draining { false }; ///< takes no new work
    Duration coldFor { 0 }; ///< how much longer it is slow after its start, when the entry was written

    auto operator<=>(const UpstreamRecord&) const = default;
};

} // namespace Ebonystack
