// A copy of the items in the platform's store, with the revision of each item. Nodes that the store rejects
// fill their copy from a peer. Within an era of the store an item of a higher revision replaces one of a
// lower revision; a later era replaces the copy.
#pragma once

#include "state/StoreItem.h"
#include "state/StorePosition.h"
#include "state/StoreUpdate.h"
#include "state/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack {

/// Not thread-safe. Removed items are kept without a value, so that peers are told of the removal. A fleet
/// has few enough ids to keep them for the life of the process.
class StoreMirror {
public:
    using Listener = std::function<void(const StoreItem&)>;
    using LossListener = std::function<void(const std::string& key)>;

    /// Calls `listener` for each item that changes, and for each item of a new era. Calls `lossListener` for
    /// the keys that a new era lacks: their writes may be lost, and made again.
    explicit StoreMirror(Listener listener, LossListener lossListener = {});

    /// Applies a change of the copy's era, unless the copy has the item with the same or a higher revision,
    /// or is complete up to the change's revision.
    void apply(const StoreItem&);
    /// Applies a complete listing of the keys that begin with `prefix`, read at `position`. Removes the items
    /// that are not in the listing and have not changed since. Does nothing if its era is over.
    void applyListing(const std::string& prefix, const std::vector<StoreItem>&, const StorePosition&);
    /// Applies what another node has passed on. Returns false if changes before it are missing; the copy then
    /// does not count as complete up to its revision, but has its items if they are of the copy's era.
    bool applyUpdate(const StoreUpdate&);
    /// Called when all changes up to `revision` of the copy's era have been applied.
    void setCompleteRevision(std::uint64_t revision);
    /// Called when the store is known to have had no change after `position` at `time`. Does nothing for a
    /// position that the copy has not reached.
    void confirm(const StorePosition&, Instant time);

    /// Up to where the copy has all changes; revision 0 before the first listing.
    StorePosition position() const { return { m_era, m_revision }; }
    std::uint64_t era() const { return m_era; }
    std::uint64_t revision() const { return m_revision; }
    /// The last time at which the store is known to have had no change that the copy lacks. What the copy
    /// gets next was written after it.
    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }
    /// The last time at which the store is known to have had no change after an earlier position of the copy.
    std::optional<Instant> confirmedAt(const StorePosition&) const;
    /// What changed after `since`: all items, if `since` is of another era.
    StoreUpdate changesSince(const StorePosition& since) const;

private:
    using Items = std::map<std::string, StoreItem>;

    /// Begins a new era without items; returns those of the last one.
    Items enterEra(std::uint64_t era);
    /// Reports the items of the last era that the new one lacks.
    void reportLosses(const Items& previous);
    /// Removes the items that `exists` does not name and that have not changed after `revision`. They count
    /// as removed at the first revision at which they can have been: a later one would look like a second
    /// removal to a node that knows the true one.
    template <typename Predicate> void removeOthers(std::uint64_t revision, Predicate&& exists);

    Listener m_listener;
    LossListener m_lossListener;
    Items m_items; // of m_era
    std::uint64_t m_era { 0 };
    std::uint64_t m_revision { 0 };
    // All removals after this revision are known. A listing names what exists, not what was removed before
    // it.
    std::uint64_t m_removalsKnownSince { 0 };
    std::optional<Instant> m_confirmedAt;
    StorePosition m_confirmedPosition; // after which the store had no change at m_confirmedAt
};

} // namespace Ebonystack
