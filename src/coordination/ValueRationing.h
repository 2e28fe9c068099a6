// Shares a scarce supply among call trees by what they are worth. While more is wanted than the supply can
// keep up, it goes to the trees that earn most with it: a tree that needs much and gets only some of it fails
// all the same, and has used up what others needed.
#pragma once

#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace Ebonystack {

/// What there is to share.
struct RationedSupply {
    double amount { 0 };
    /// Time for which the amount should last for the trees of most value. For others it is longer by the
    /// factor by which they are worth less, up to `longestHorizon`.
    Duration shortestHorizon { std::chrono::seconds(1) };
    Duration longestHorizon { std::chrono::seconds(1) };

    auto operator<=>(const RationedSupply&) const = default;
};

/// Not thread-safe.
class ValueRationing {
public:
    /// Counts that a tree of this value wants a unit, see HopRequest::treeValue, and returns whether it may
    /// have it. The units for trees of similar value are spaced evenly.
    bool admit(double treeValue);
    /// Recomputes the shares. Call it a few times a second.
    void update(const RationedSupply&, Instant now);

private:
    struct Demand {
        double wantedPerSecond { 0 }; // smoothed
        std::uint32_t wantedSinceUpdate { 0 };
        double share { 1 }; // of what is wanted, admitted
        double credit { 0 }; // each wanted unit adds `share`; at 1 one is admitted
    };

    std::map<int, Demand> m_demands; // by level of value
    std::optional<Instant> m_updatedAt;
};

} // namespace Ebonystack
