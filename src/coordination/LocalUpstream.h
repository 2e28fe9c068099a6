// What a node knows of the run of the upstream beside it: by its record in the directory, by its responses,
// and, after a restart of the node, by what entry nodes remember.
#pragma once

#include "state/ChangeTime.h"
#include "state/UpstreamNotice.h"

#include <optional>

namespace Ebonystack {

/// For how long a leaving upstream is still sent requests. Both bind.
struct DrainTimes {
    Duration afterNews; ///< since this node heard of it
    Duration afterLeaving; ///< since it can have been so

    auto operator<=>(const DrainTimes&) const = default;
};

/// Not thread-safe.
class LocalUpstream {
public:
    /// Called with the newest record at the upstream's address and the time of its write. What another run
    /// there has said is forgotten.
    void setRecord(const UpstreamRecord&, const ChangeTime& written);
    /// Called when the directory has no record at the upstream's address any more: some upstreams leave
    /// without a word.
    void removeRecord(const ChangeTime& removed);
    /// Called with the notice of each response whose request was sent at `sentAt`. Returns whether the
    /// request limit has changed or the upstream has said for the first time that it is leaving.
    bool onResponse(const UpstreamNotice&, Instant sentAt, Instant now);
    /// Takes over a limit that an entry node remembers, until the upstream responds for the first time since
    /// this node's start. Returns whether the request limit has changed.
    bool adoptRequestLimit(double requestsPerSecond);

    const std::optional<UpstreamRecord>& record() const { return m_record; }
    /// The requests per second that the upstream takes; nothing if it has named no limit.
    std::optional<double> requestLimit() const { return m_requestLimit; }
    /// What the upstream has said since this node's start; nothing until then.
    std::optional<UpstreamNotice> notice() const;
    bool isLeaving() const { return m_leavingSince.has_value(); }
    /// Whether the record says that the upstream is draining, or was removed.
    bool isDraining() const { return m_drainingSince.has_value(); }
    /// When the first of these was heard, and since when it can be so; nothing if the upstream is not known
    /// to leave.
    std::optional<ChangeTime> leavingSince() const;
    /// Whether one of these times is over, or it is not known since when the record can have said that the
    /// upstream is draining.
    bool hasDrained(const DrainTimes&, Instant now) const;

private:
    std::optional<UpstreamRecord> m_record;
    std::optional<double> m_requestLimit;
    Instant m_limitHeardAt; // when the last response with a limit arrived
    bool m_hasResponded { false }; // since this node's start
    bool m_hasGivenNotice { false }; // likewise
    std::optional<ChangeTime> m_drainingSince; // by the record or its removal
    std::optional<Instant> m_leavingSince; // by the responses; stays for the rest of the run
};

} // namespace Ebonystack
