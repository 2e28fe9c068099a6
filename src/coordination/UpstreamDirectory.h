// Which upstreams may get work, by the platform's published entries. An entry that disappears while the
// store is in trouble may come back, so its upstream stays in use for a short time after the store's return.
#pragma once

#include "state/UpstreamEntry.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack {

/// An upstream in the directory.
struct KnownUpstream {
    UpstreamEntry entry;
    Instant coldUntil; ///< it is slow until then
    std::optional<Instant> goneAt; ///< its entry has lapsed: out of use from then on

    auto operator<=>(const KnownUpstream&) const = default;
};

/// Not thread-safe.
class UpstreamDirectory {
public:
    /// An entry was written.
    void put(const UpstreamEntry&, Instant now);
    /// An entry was removed. With `lapsed` its upstream stays in use until the return of the entry is overdue.
    void remove(const InstanceId&, bool lapsed, Instant now);
    /// Forgets the upstreams whose entry did not return.
    void expire(Instant now);

    /// The upstreams of a service that take new work.
    std::vector<const KnownUpstream*> usable(const ServiceName&) const;
    /// The newest entry at an address; null when there is none.
    const KnownUpstream* atAddress(const std::string& address) const;
    const KnownUpstream* find(const InstanceId&) const;
    /// All VMs with an entry, each once, in order.
    std::vector<VmId> vms() const;
    std::size_t size() const { return m_upstreams.size(); }

private:
    std::map<InstanceId, KnownUpstream> m_upstreams;
    std::map<InstanceId, std::uint64_t> m_order; // of the first write of each, to tell the newest
    std::uint64_t m_nextOrder { 1 };
};

} // namespace Ebonystack
