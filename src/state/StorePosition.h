// A point in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>

namespace Ebonystack {

/// Positions of one era are ordered by revision. When the store comes back from a copy it begins a new era:
/// it has lost its newest changes, and gives their revisions out again.
struct StorePosition {
    std::uint64_t era { 0 }; ///< 0 for a store that names none
    std::uint64_t revision { 0 };

    auto operator<=>(const StorePosition&) const = default;
};

} // namespace Ebonystack
