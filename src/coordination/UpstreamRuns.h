// The requests that run at the upstream beside this node, to find the one that has made a nested call. Nested
// calls don't name their parent, but most expire at its deadline. A call has the value of its parent's tree.
// A call that is refused marks its parent: the parent's failure is then no reason to run it again, because
// the retry would meet the same refusal. When the parent is unknown, it is the run that fails right after.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Ebonystack {

/// Identifies a run; 0 is none.
using RunId = std::uint64_t;

struct UpstreamRun {
    RouteId route;
    Instant deadline;
    double treeValue { 0 }; ///< see HopRequest::treeValue
    double repeatShare { 0 }; ///< see HopRequest::repeatShare
    std::map<RouteId, std::uint32_t> calls; ///< nested calls so far, by route
    bool hasRefusedCall { false };

    auto operator<=>(const UpstreamRun&) const = default;
};

/// Not thread-safe.
class UpstreamRuns {
public:
    /// Called when a request is sent to the upstream.
    RunId start(UpstreamRun);
    /// Ends a run and returns it; nothing when it is unknown. `failed`: the upstream responded with an error.
    std::optional<UpstreamRun> end(RunId, bool failed, Instant now);
    /// Called when a running request is run again.
    void recordRepeat(RunId);

    /// Finds the run that has made a nested call with this deadline, as this node computes it on arrival, and
    /// counts the call. 0 when that is not known.
    RunId startCall(const RouteId& callee, Instant callDeadline);
    /// Ends a call of the run, or of an unknown one. `refused`: no node ran it, or a call below it.
    void endCall(RunId, bool refused, Instant now);
    /// Null when the run has ended.
    const UpstreamRun* find(RunId) const;

private:
    struct Entry {
        UpstreamRun run;
        std::uint32_t openCalls { 0 };
    };

    /// The run without open calls whose deadline is nearest to that of the call: a run that waits for a call
    /// makes no other.
    std::optional<RunId> findParent(Instant callDeadline) const;
    /// Takes back a refusal whose parent is unknown, if there was one a moment ago.
    bool takeRefusal(Instant now);
    void removeOldRefusals(Instant now);

    std::unordered_map<RunId, Entry> m_runs;
    std::set<std::pair<Instant, RunId>> m_waitingForNone; // runs without open calls, by deadline
    std::deque<Instant> m_refusals; // of calls whose parent is unknown, of the last moments
    RunId m_lastId { 0 };
};

} // namespace Ebonystack
