// Shares the repeats that the retry budget of an upstream has left among call trees. While more repeats are
// wanted than the budget can keep up for some seconds, they go to the trees that earn most with each: a tree
// that needs many repeats and gets only some of them fails all the same, and has used up those of the others.
#pragma once

#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class RetryRationing {
public:
    /// Counts a repeat that a tree of this value wants, see HopRequest::treeValue, and returns whether it may
    /// have one. The repeats of trees of similar value are spaced evenly.
    bool admit(double treeValue);
    /// Recomputes the shares for the number of repeats that the budget has left. Call it a few times a
    /// second.
    void update(double repeatsLeft, Instant now);
    /// The repeats per second that all trees want.
    double wantedPerSecond() const;

private:
    struct Demand {
        double wantedPerSecond { 0 }; // smoothed
        std::uint32_t wantedSinceUpdate { 0 };
        double share { 1 }; // of the wanted repeats, admitted
        double credit { 0 }; // each wanted repeat adds `share`; at 1 one is admitted
    };

    std::map<int, Demand> m_demands; // by level of value, see levelOf
    std::optional<Instant> m_updatedAt;
};

} // namespace Ebonystack
