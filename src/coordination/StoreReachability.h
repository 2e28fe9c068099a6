// Tracks which VMs can reach the platform's store, as their nodes report. An upstream whose VM can't reach
// the store can't renew its record, so the record's lapse does not mean that the upstream has ended.
#pragma once

#include "state/Names.h"
#include "state/StoreContact.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Ebonystack {

enum class StoreReachabilityState : std::uint8_t {
    Unknown, ///< there is no recent report of the VM's node
    Reachable,
    Unreachable,
};

/// Not thread-safe.
class StoreReachability {
public:
    /// Called when a VM's node reports whether it can reach the store, and what it knows of its contact.
    /// Nodes of the version before don't report a contact.
    void report(const VmId&, bool reachesStore, Instant now, const std::optional<StoreContact>& = {});
    /// Called with this node's own contact.
    void setLocal(const StoreContact& contact) { m_local = contact; }

    StoreReachabilityState stateOf(const VmId&, Instant now) const;
    /// Nothing if there is no recent report of the VM's node.
    std::optional<StoreContact> contactOf(const VmId&, Instant now) const;
    const StoreContact& local() const { return m_local; }
    /// The number of VMs of which a report is kept.
    std::size_t size() const { return m_reports.size(); }
    /// Whether most other VMs with a recent report have also lost the store during the outage of `vm`. Takes
    /// time proportional to the number of VMs.
    bool isFleetOutage(const VmId& vm, const StoreOutage&, Instant now) const;
    /// The first response after `time` that ended an outage of a node which reports recently and has not lost
    /// the store again. Takes time proportional to the number of VMs.
    std::optional<Instant> firstOutageEndAfter(Instant time, Instant now) const;

private:
    struct Report {
        bool reachesStore;
        Instant at;
        StoreContact contact;
    };

    /// The contact of a node that reports only whether it reaches the store.
    static StoreContact contactAfter(const Report* previous, bool reachesStore, Instant now);
    const Report* recentReport(const VmId&, Instant now) const;

    std::map<VmId, Report> m_reports;
    StoreContact m_local;
};

} // namespace Ebonystack
