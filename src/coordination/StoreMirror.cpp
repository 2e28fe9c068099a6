// Applies changes: of two versions of an item the one with the higher store revision is kept.
#include "coordination/StoreMirror.h"

#include <algorithm>
#include <set>

namespace Ebonystack {

StoreMirror::StoreMirror(Listener listener)
    : m_listener(std::move(listener))
{
}

void StoreMirror::apply(const StoreItem& item)
{
    const auto [known, isNew] = m_items.try_emplace(item.key, item);
    if (!isNew) {
        if (item.revision <= known->second.revision)
            return;
        known->second = item;
    }
    m_listener(item);
}

void StoreMirror::applyListing(
    const std::string& prefix, const std::vector<StoreItem>& items, std::uint64_t revision)
{
    std::set<std::string> listed;
    for (const StoreItem& item : items) {
        listed.insert(item.key);
        apply(item);
    }
    std::vector<StoreItem> removed;
    for (const auto& [key, item] : m_items) {
        if (item.value && key.starts_with(prefix) && item.revision <= revision && !listed.contains(key))
            removed.push_back({ key, revision, std::nullopt });
    }
    for (const StoreItem& item : removed)
        apply(item);
}

void StoreMirror::setCompleteRevision(std::uint64_t revision) { m_revision = std::max(m_revision, revision); }

std::vector<StoreItem> StoreMirror::changesSince(std::uint64_t revision) const
{
    std::vector<StoreItem> changes;
    for (const auto& [key, item] : m_items) {
        if (item.revision > revision)
            changes.push_back(item);
    }
    return changes;
}

} // namespace Ebonystack
