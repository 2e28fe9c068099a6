// How many requests this node may send to a second upstream, per service. First sends earn a small part of a
// repeat each; all nodes together stay within the operator's ratio, also when repeats happen at several
// levels of a call tree.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>

namespace Ebonystack {

/// The operator's bound on repeats, summed over all nodes.
struct RepeatBounds {
    double ratio { 0.2 }; ///< repeats for each request within the window
    Duration window { std::chrono::seconds(10) };
    double extra { 50 }; ///< repeats besides those of the ratio within the window

    auto operator<=>(const RepeatBounds&) const = default;
};

/// Not thread-safe.
class RepeatBudget {
public:
    explicit RepeatBudget(const RepeatBounds&);

    /// The number of nodes that share the extra repeats.
    void setNodes(std::size_t count);
    void countFirst(const ServiceName&, Instant now);
    /// Takes one repeat; false when the budget has less than one.
    bool spend(const ServiceName&, Instant now);

private:
    struct Account {
        double repeats { 0 };
        Instant filledAt;
    };

    Account& filled(const ServiceName&, Instant now);

    RepeatBounds m_bounds;
    double m_extraShare { 0 }; // of the extra repeats, in one window
    std::map<ServiceName, Account> m_accounts;
};

} // namespace Ebonystack
