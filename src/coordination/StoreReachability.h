// Tracks which VMs can reach the platform's store, as their nodes report. An upstream whose VM can't reach
// the store can't renew its record, so the record's lapse does not mean that the upstream has ended.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <cstdint>
#include <map>

namespace Ebonystack {

enum class StoreReachabilityState : std::uint8_t {
    Unknown, ///< there is no recent report of the VM's node
    Reachable,
    Unreachable,
};

/// Not thread-safe.
class StoreReachability {
public:
    /// Called when a VM's node reports whether it can reach the store.
    void report(const VmId&, bool reachesStore, Instant now);
    StoreReachabilityState stateOf(const VmId&, Instant now) const;

private:
    struct Report {
        bool reachesStore;
        Instant at;
    };

    std::map<VmId, Report> m_reports;
};

} // namespace Ebonystack
