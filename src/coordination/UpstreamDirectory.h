// Which upstreams may get work, by the platform's published entries. An entry that disappears for want of
// contact with the store may come back, so its upstream stays in use until that is overdue.
#pragma once

#include "coordination/StoreReachability.h"
#include "state/UpstreamRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack {

/// An upstream in the directory.
struct KnownUpstream {
    UpstreamRecord record;
    std::uint64_t revision { 0 }; ///< of the store, at the entry's last write
    Instant coldUntil; ///< it is slow until then
    std::optional<Instant> expiresAt; ///< its entry has lapsed: out of use from then on
    /// Its entry has lapsed, and its VM has no contact with the store.
    bool lapsedWhileStoreUnreachable { false };

    auto operator<=>(const KnownUpstream&) const = default;
};

/// The platform puts entries that lapsed for want of contact back within about this time of its return.
constexpr Duration lapsedRecordGrace = std::chrono::milliseconds(2200);

/// Not thread-safe.
class UpstreamDirectory {
public:
    UpstreamDirectory() = default;
    UpstreamDirectory(const UpstreamDirectory&) = delete;
    UpstreamDirectory& operator=(const UpstreamDirectory&) = delete;

    /// An entry was written at a revision of the store.
    void put(const UpstreamRecord&, std::uint64_t revision, Instant now);
    /// An entry was removed. With `graceUntil` it may have lapsed for want of the store only: its upstream
    /// stays in use until then, unless it was draining.
    void remove(const InstanceId&, std::optional<Instant> graceUntil);
    /// An entry was removed while its VM had no contact with the store.
    void removeWhileStoreUnreachable(const InstanceId&);
    /// Forgets the upstreams whose entry did not return in time.
    void expire(const StoreReachability&, Instant now);

    /// The upstreams of a service that take new work. An address has one upstream at a time: where several
    /// entries name it, the one written last holds, and the others are those of ended instances.
    const std::vector<const KnownUpstream*>& usable(const ServiceName&) const;
    /// The newest entry at an address; null when there is none.
    const KnownUpstream* atAddress(const std::string& address) const;
    const KnownUpstream* find(const InstanceId&) const;
    /// All VMs with an upstream in the directory, each once, in order.
    std::vector<VmId> vms() const;
    /// Those among them whose entry is published now: nodes that have just started know no others.
    std::vector<VmId> publishedVms() const;
    std::size_t size() const { return m_upstreams.size(); }
    /// Rises with every change of the directory.
    std::uint64_t version() const { return m_version; }

private:
    using Upstreams = std::vector<const KnownUpstream*>;

    template <typename Predicate> std::vector<VmId> vmsIf(Predicate&&) const;
    std::map<ServiceName, Upstreams> findUsable() const;

    std::map<InstanceId, KnownUpstream> m_upstreams;
    std::uint64_t m_version { 1 };
    // By service; they point into m_upstreams and hold for the directory as it was at m_usableVersion.
    mutable std::map<ServiceName, Upstreams> m_usable;
    mutable std::uint64_t m_usableVersion { 0 };
};

} // namespace Ebonystack
