// What a VM's node knows of its contact with the platform's store. The upstream in the VM has the same
// contact.
#pragma once

#include "state/Time.h"

#include <compare>
#include <optional>

namespace Ebonystack {

/// A time in which calls to the store failed.
struct StoreOutage {
    Instant beganAfter; ///< the last sign of the store before it
    Instant endedAfter; ///< when the last call that failed was begun
    Instant endedBy; ///< the first response after it

    auto operator<=>(const StoreOutage&) const = default;
};

struct StoreContact {
    std::optional<Instant> lastSeen; ///< the last sign of the store; nothing before the first
    std::optional<Instant> lostAfter; ///< set while calls fail: the last sign of the store before they did
    std::optional<StoreOutage> lastOutage; ///< the last one that has ended

    auto operator<=>(const StoreContact&) const = default;
};

/// The same as ages, for nodes with other clocks.
struct StoreContactAges {
    std::optional<Duration> lastSeen;
    std::optional<Duration> lostAfter;
    std::optional<Duration> outageBeganAfter; ///< this and the next two are set together
    std::optional<Duration> outageEndedAfter;
    std::optional<Duration> outageEndedBy;

    auto operator<=>(const StoreContactAges&) const = default;
};

StoreContactAges agesOf(const StoreContact&, Instant now);
StoreContact contactOf(const StoreContactAges&, Instant now);

} // namespace Ebonystack
