// The record that the platform publishes about one upstream.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Ebonystack {

/// Identifies an upstream: a restart mostly gives a new id.
using InstanceId = Name<struct InstanceTag>;

struct UpstreamRecord {
    InstanceId instance;
    ServiceName service;
    DataCentre dataCentre;
    std::string address; ///< "ip:port", reachable from its own VM only
    VmId vm; ///< the IP address of the upstream's VM
    std::uint32_t slots { 1 }; ///< requests that the upstream can run at the same time
    bool draining { false }; ///< the upstream takes no new requests
    Duration remainingColdTime { 0 }; ///< of slowness after the start, counted from the record's write
    /// When the upstream started, in milliseconds since the Unix epoch: tells runs with the same id apart.
    std::uint64_t startedAt { 0 };
    std::uint64_t sequence { 0 }; ///< increases with each report of a run; 0 if the record has none

    auto operator<=>(const UpstreamRecord&) const = default;
};

} // namespace Ebonystack
