// Changes of the mirrored store, as one node passes them on to another. Says both from which revision and up
// to which it is complete, since a mirror that began with a listing knows no removal from before.
#pragma once

#include "state/StoreItem.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack {

struct StoreUpdate {
    /// Every item that was written after this revision and exists at `revision` is in `items`.
    std::uint64_t since { 0 };
    std::uint64_t revision { 0 };
    std::vector<StoreItem> items;
    /// The keys of the other items that exist at `revision`. Set if removals after `since` may be missing in
    /// `items`: an item that is in neither does not exist.
    std::optional<std::vector<std::string>> otherKeys;
    /// Of all revisions here, see StorePosition. Nodes of the version before name none: then it is the
    /// receiver's.
    std::optional<std::uint64_t> era;

    auto operator<=>(const StoreUpdate&) const = default;
};

} // namespace Ebonystack
