// Which VMs are in contact with the platform's store, by what their nodes say. An upstream whose VM has lost
// that contact can't renew its entry, so the entry's end says nothing about the upstream.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <cstdint>
#include <map>

namespace Ebonystack {

enum class StoreReachabilityState : std::uint8_t {
    Unknown, ///< the VM's node was not heard of lately
    Reachable,
    Unreachable,
};

/// Not thread-safe.
class StoreReachability {
public:
    /// A VM's node says whether it reaches the store.
    void report(const VmId&, bool reachesStore, Instant now);
    StoreReachabilityState of(const VmId&, Instant now) const;

private:
    struct Report {
        bool reachesStore;
        Instant at;
    };

    std::map<VmId, Report> m_reports;
};

} // namespace Ebonystack
