// One item of the platform's store, as nodes keep it and send it to each other.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Ebonystack {

/// A written item, or a removed one when it has no value.
struct StoreItem {
    std::string key;
    std::uint64_t revision { 0 }; ///< of the store, at the item's write or removal
    std::optional<std::string> value;

    auto operator<=>(const StoreItem&) const = default;
};

} // namespace Ebonystack
