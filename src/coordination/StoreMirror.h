// A copy of the items in the platform's store, with the revision of each item. Nodes that the store rejects
// fill their copy from a peer. An item of a higher revision always replaces one of a lower revision.
#pragma once

#include "state/StoreItem.h"
#include "state/StoreUpdate.h"

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

    /// Applies a change, unless the copy has the item with the same or a higher revision, or is complete up to
    /// the change's revision.
    void apply(const StoreItem&);
    /// Applies a complete listing of the keys that begin with `prefix`, read at `revision`. Removes the items
    /// that are not in the listing and have not changed after `revision`.
    void applyListing(const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision);
    /// Applies what another node has passed on. Returns false if changes before it are missing; its items are
    /// applied then as well, but the copy does not count as complete up to its revision.
    bool applyUpdate(const StoreUpdate&);
    /// Called when all changes up to `revision` have been applied.
    void setCompleteRevision(std::uint64_t revision);

    /// The revision up to which the copy has all changes; 0 before the first listing.
    std::uint64_t revision() const { return m_revision; }
    /// What changed after `since`.
    StoreUpdate changesSince(std::uint64_t since) const;

private:
    /// Removes the items that `exists` does not name and that have not changed after `revision`.
    template <typename Predicate> void removeOthers(std::uint64_t revision, Predicate&& exists);

    Listener m_listener;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_revision { 0 };
    // All removals after this revision are known. A listing names what exists, not what was removed before
    // it.
    std::uint64_t m_removalsKnownSince { 0 };
};

} // namespace Ebonystack
