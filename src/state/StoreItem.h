// One item of the platform's store, as nodes keep it and hand it on.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Ebonystack {

/// An item as it was written, or its removal when it has no value.
struct StoreItem {
    std::string key;
    std::uint64_t revision { 0 }; ///< of the store, at the write or the removal
    std::optional<std::string> value;

    auto operator<=>(const StoreItem&) const = default;
};

} // namespace Ebonystack
