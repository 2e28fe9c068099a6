// The upstreams that can get requests, by the records that the platform publishes in its store. A record may
// have lapsed only because the store could not be reached (see RecordLapse.h), or be missing because the
// store came back from a copy. Such a record may be published again, so its upstream stays in use for a grace
// period. What upstreams say of themselves outlives the store's eras: a copy does not take back that one is
// draining or has left.
#pragma once

#include "coordination/RecordLapse.h"
#include "coordination/StoreReachability.h"
#include "state/ChangeTime.h"
#include "state/StorePosition.h"
#include "state/UpstreamRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack {

/// An upstream in the directory.
struct KnownUpstream {
    UpstreamRecord record;
    StorePosition position; ///< of the store, at the record's last write
    Instant coldUntil; ///< the upstream has just started and is slow until then
    std::optional<Instant> expiresAt; ///< set when a grace period was given: the upstream is dropped then
    bool mayHaveLapsed { false }; ///< dropped as soon as it is known to have left
    ChangeTime written { Instant() }; ///< the record's last write
    std::optional<ChangeTime> removed; ///< set while the store has no record of the upstream

    auto operator<=>(const KnownUpstream&) const = default;
};

/// A restored store removes the records of upstreams that have ended within this time.
constexpr Duration restoredRecordLapse = std::chrono::seconds(7);

/// Not thread-safe.
class UpstreamDirectory {
public:
    /// `heartbeat`: the interval at which upstreams renew their records.
    explicit UpstreamDirectory(Duration heartbeat = std::chrono::milliseconds(1500))
        : m_heartbeat(heartbeat)
    {
    }
    UpstreamDirectory(const UpstreamDirectory&) = delete;
    UpstreamDirectory& operator=(const UpstreamDirectory&) = delete;

    /// Called when a record was written, or is in the copy from which the store came back. A copy that is
    /// older than what the upstream said last counts only if it is still there after `restoredRecordLapse`.
    void put(const UpstreamRecord&, const StorePosition&, const ChangeTime&);
    /// Called when a record was removed. With `graceUntil` it is only missing from the copy from which the
    /// store came back: the upstream stays in use, unless it is draining, until then at most, and for as long
    /// as `inUseAfterRestoreUntil` allows.
    void remove(const InstanceId&, std::optional<Instant> graceUntil, const ChangeTime&);
    /// Called when a record was removed. Unless it is draining, the upstream stays in use for as long as
    /// `inUseUntil` allows.
    void removeUnlessLapsed(const InstanceId&, const ChangeTime&);
    /// Drops the upstreams that have left, and those whose record was not published again in time. Call it
    /// after removals and at regular intervals.
    void expire(const StoreReachability&, Instant now);

    /// The upstreams of a service that take new requests. An address has one upstream at a time: where
    /// several records name it, the one written last is valid, and the others belong to ended instances.
    const std::vector<const KnownUpstream*>& usable(const ServiceName&) const;
    /// The upstream of the record at an address that was written last; null when there is none.
    const KnownUpstream* newestAtAddress(const std::string& address) const;
    const KnownUpstream* find(const InstanceId&) const;
    /// When the record of an upstream that has left the directory was removed; nothing if it is not known to
    /// have left.
    std::optional<ChangeTime> removalOf(const InstanceId&) const;
    /// All VMs with an upstream in the directory, sorted and without duplicates.
    std::vector<VmId> vms() const;
    /// The VMs among them with a record that is published now. Nodes that have just started know only these.
    std::vector<VmId> publishedVms() const;
    /// All VMs of a data centre, sorted and without duplicates.
    std::vector<VmId> vmsIn(const DataCentre&) const;
    /// The number of data centres with a VM.
    std::size_t dataCentreCount() const;
    std::size_t size() const { return m_upstreams.size(); }
    /// Increases with every change of the directory.
    std::uint64_t version() const { return m_version; }

private:
    using Upstreams = std::vector<const KnownUpstream*>;

    /// A record that a restored store may have only because its copy is old.
    struct DoubtedRecord {
        UpstreamRecord record;
        StorePosition position;
        ChangeTime written;
        Instant until;
    };
    /// The last record of an upstream that has left the directory.
    struct EndedUpstream {
        UpstreamRecord record;
        std::uint64_t era { 0 }; // of the store, at the removal
        ChangeTime removed;
        Instant at;
    };

    /// Whether the record comes from an older copy than what is known of the upstream.
    bool isOutdated(const UpstreamRecord&, const StorePosition&) const;
    void accept(const UpstreamRecord&, const StorePosition&, const ChangeTime&);
    void end(const KnownUpstream&, const ChangeTime& removed, Instant now);

    template <typename Predicate> std::vector<VmId> vmsIf(Predicate&&) const;
    std::map<ServiceName, Upstreams> findUsable() const;

    const Duration m_heartbeat;
    std::map<InstanceId, KnownUpstream> m_upstreams;
    std::map<InstanceId, DoubtedRecord> m_doubted;
    std::map<InstanceId, EndedUpstream> m_ended; // those of the last minutes
    std::uint64_t m_era { 0 }; // the latest of a record
    std::uint64_t m_version { 1 };
    // The usable upstreams by service, at version m_usableVersion of the directory; points into m_upstreams.
    mutable std::map<ServiceName, Upstreams> m_usable;
    mutable std::uint64_t m_usableVersion { 0 };
};

} // namespace Ebonystack
