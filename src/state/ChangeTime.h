// When a node heard of a change in the platform's store, and since when the change can have been made. News
// may be late: a limit that counts from the change does not begin when a node hears of it.
#pragma once

#include "state/Time.h"

#include <compare>
#include <optional>

namespace Ebonystack {

struct ChangeTime {
    /// Of a change that is heard as it is made.
    constexpr ChangeTime(Instant now)
        : ChangeTime(now, now)
    {
    }

    constexpr ChangeTime(Instant heard, std::optional<Instant> madeAfterTime)
        : heardAt(heard)
        , madeAfter(madeAfterTime)
    {
    }

    Instant heardAt;
    /// The store is known to have lacked the change at this time; nothing if that is not known.
    std::optional<Instant> madeAfter;

    auto operator<=>(const ChangeTime&) const = default;
};

} // namespace Ebonystack
