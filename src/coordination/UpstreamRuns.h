// The requests that run at the upstream beside this node, to find the one that has made a nested call. Nested
// calls don't name their parent, but they expire at its deadline. A call has the value of its parent's tree.
// A call that is refused marks its parent: the parent's failure is then no reason to run it again, because
// the retry would meet the same refusal.
#pragma once

#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace Ebonystack {

/// Identifies a run; 0 is none.
using RunId = std::uint64_t;

/// Not thread-safe.
class UpstreamRuns {
public:
    /// Called when a request is sent to the upstream with this deadline.
    RunId start(Instant deadline, double treeValue = 0);
    /// Ends a run; returns whether one of its nested calls was refused.
    bool end(RunId);

    /// The run whose deadline is nearest to that of a nested call, as this node computes it on arrival;
    /// nothing when there is none near enough.
    std::optional<RunId> findParent(Instant callDeadline) const;
    /// The value of the run's call tree, see HopRequest::treeValue; 0 when the run has ended.
    double treeValue(RunId) const;
    /// Called when a nested call of the run was refused; no effect when the run has ended.
    void recordRefusedCall(RunId);

private:
    struct Run {
        Instant deadline;
        double treeValue { 0 };
        bool hasRefusedCall { false };
    };

    // Both maps contain the same runs.
    std::unordered_map<RunId, Run> m_runs;
    std::multimap<Instant, RunId> m_byDeadline;
    RunId m_lastId { 0 };
};

} // namespace Ebonystack
