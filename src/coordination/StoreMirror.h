// A copy of the items in the platform's store, with the revision of each item. Nodes that the store rejects
// fill their copy from a peer. An item of a higher revision always replaces one of a lower revision.
#pragma once

#include "state/StoreItem.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Ebonystack {

/// Not thread-safe. Removed items are kept without a value, so that peers are told of the removal. A fleet
/// has few enough ids to keep them for the life of the process.
class StoreMirror {
public:
    using Listener = std::function<void(const StoreItem&)>;

    /// Calls `listener` for each item that changes.
    explicit StoreMirror(Listener listener);

    /// Applies a change, unless the copy has the item with the same or a higher revision.
    void apply(const StoreItem&);
    /// Applies a complete listing of the keys that begin with `prefix`, read at `revision`. Removes the items
    /// that are not in the listing and have not changed after `revision`.
    void applyListing(const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision);
    /// Called when all changes up to `revision` have been applied.
    void setCompleteRevision(std::uint64_t revision);

    /// The revision up to which the copy has all changes; 0 before the first listing.
    std::uint64_t revision() const { return m_revision; }
    /// The items that changed after `revision`.
    std::vector<StoreItem> changesSince(std::uint64_t revision) const;

private:
    Listener m_listener;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_revision { 0 };
};

} // namespace Ebonystack
