// The settings of one sidecar: its addresses, the platform's store, the limits of its VM and the operator's
// bounds. Each field is described in docs/CONFIGURATION.md.
#pragma once

#include "protocol/Problem.h"
#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Ebonystack {

struct SidecarSettings {
    VmId vm; ///< the VM's IP address
    std::string name; ///< for logs
    DataCentre dataCentre;
    ServiceName service; ///< the service of the upstream beside this node
    std::string upstreamAddress; ///< "ip:port"
    std::string callerAddress; ///< "ip:port" for callers in this VM and for the upstream's own calls
    std::string readinessAddress; ///< "ip:port" for readiness checks: whether the node accepts requests
    std::uint16_t peerPort { 0 }; ///< port of links between nodes; the same in all VMs
    std::uint16_t metricsPort { 0 }; ///< port of the metrics page; 0: no metrics are served
    std::string storeAddress; ///< "ip:port" of the platform's store
    std::uint32_t memoryMegabytes { 256 };
    std::uint32_t descriptors { 1024 };
    Duration grace { std::chrono::seconds(6) }; ///< time from SIGTERM until the process is killed
    Duration drain { std::chrono::seconds(2) }; ///< time after which a draining upstream gets no request
    Duration heartbeat { std::chrono::milliseconds(1500) }; ///< at which upstreams renew their records
    double repeatRatio { 0.2 }; ///< see RetryLimits
    Duration repeatWindow { std::chrono::seconds(10) };
    double extraRepeats { 50 };
    std::string logLevel { "info" };

    auto operator<=>(const SidecarSettings&) const = default;
};

/// Returns the settings, or every problem found in the text.
tl::expected<SidecarSettings, Problems> parseSidecarSettings(std::string_view text);

/// Reads and parses a file. Returns FileUnreadable if the file can't be read.
tl::expected<SidecarSettings, Problems> loadSidecarSettings(const std::string& file);

} // namespace Ebonystack
