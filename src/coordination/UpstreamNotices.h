// The notices of all upstreams, as their nodes report them. An entry node remembers them while the upstream's
// own node can't: after a restart that node knows nothing until the upstream responds again. An upstream that
// has said that it is leaving stays so for the rest of its run; its id and address may be used again.
#pragma once

#include "coordination/UpstreamDirectory.h"
#include "state/UpstreamNotice.h"

#include <map>

namespace Ebonystack {

/// Not thread-safe.
class UpstreamNotices {
public:
    /// Called with the notice of each load report.
    void record(const UpstreamNotice&, const UpstreamDirectory&, Instant now);
    bool knowsLeavingUpstreams() const { return !m_leaving.empty(); }
    /// Since when this run of the upstream is known to be leaving; nothing if it isn't.
    std::optional<Instant> leavingSince(const UpstreamRecord&) const;
    /// The limit that the upstream has named last; nothing when it named none.
    std::optional<double> requestLimit(const InstanceId&) const;
    /// Forgets the upstreams that have left the directory.
    void removeUnknown(const UpstreamDirectory&);

private:
    struct LeavingRun {
        std::uint64_t startedAt { 0 }; // see UpstreamRecord
        Instant since; // when this node heard of it
    };

    std::map<InstanceId, double> m_requestLimits; // per second
    std::map<InstanceId, LeavingRun> m_leaving;
};

} // namespace Ebonystack
