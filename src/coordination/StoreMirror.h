// A copy of what the platform's store publishes, with the revision of each item. Nodes that the store turns
// away fill theirs from a peer: an item of a higher revision always replaces one of a lower.
#pragma once

#include "state/StoreItem.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Ebonystack {

/// Not thread-safe. Removed items are kept as such, so that a peer learns of the removal; a fleet's ids are
/// few enough to keep them for the life of the process.
class StoreMirror {
public:
    using Listener = std::function<void(const StoreItem&)>;

    /// `listener` is told of each item that changes.
    explicit StoreMirror(Listener listener);

    /// Takes one change; older ones than what is held have no effect.
    void apply(const StoreItem&);
    /// Takes a whole listing of the keys that begin with `prefix`, read at `revision`: items that it does not
    /// hold, and that had not changed after `revision`, are removed.
    void applyListing(const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision);
    /// All changes up to `revision` are in the copy.
    void completeUpTo(std::uint64_t revision);

    /// Every change up to this one is in the copy; 0 before the first listing.
    std::uint64_t revision() const { return m_revision; }
    /// The items that changed after `revision`.
    std::vector<StoreItem> changesSince(std::uint64_t revision) const;

private:
    Listener m_listener;
    std::map<std::string, StoreItem> m_items;
    std::uint64_t m_revision { 0 };
};

} // namespace Ebonystack
