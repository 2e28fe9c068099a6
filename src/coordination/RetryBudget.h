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
struct RetryLimits {
    double ratio { 0.2 }; ///< repeats for each request within the window
    Duration window { std::chrono::seconds(10) };
    double extraRetries { 50 }; ///< repeats besides those of the ratio within the window

    auto operator<=>(const RetryLimits&) const = default;
};

/// Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(const RetryLimits&);

    /// The number of nodes that share the extra repeats.
    void setNodeCount(std::size_t count);
    void recordFirstAttempt(const ServiceName&, Instant now);
    /// Takes one repeat; false when the budget has less than one.
    bool spend(const ServiceName&, Instant now);

private:
    struct Account {
        double balance { 0 };
        Instant filledAt;
    };

    Account& refilled(const ServiceName&, Instant now);

    RetryLimits m_bounds;
    double m_extraRetriesPerNode { 0 }; // of the extra repeats, in one window
    std::map<ServiceName, Account> m_accounts;
};

} // namespace Ebonystack
