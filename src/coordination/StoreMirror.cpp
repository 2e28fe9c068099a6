// Applies changes: of two versions of an item the one with the higher store revision is kept.
#include "coordination/StoreMirror.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace Ebonystack {

StoreMirror::StoreMirror(Listener listener)
    : m_listener(std::move(listener))
{
}

void StoreMirror::apply(const StoreItem& item)
{
    if (item.revision <= m_revision)
        return; // known, or removed since
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
    removeOthers(
        revision, [&](const std::string& key) { return !key.starts_with(prefix) || listed.contains(key); });
    if (revision > m_revision)
        m_removalsKnownSince = revision;
}

template <typename Predicate> void StoreMirror::removeOthers(std::uint64_t revision, Predicate&& exists)
{
    std::vector<StoreItem> removed;
    for (const auto& [key, item] : m_items) {
        if (item.value && item.revision <= revision && !exists(key))
            removed.push_back({ key, revision, std::nullopt });
    }
    for (const StoreItem& item : removed)
        apply(item);
}

bool StoreMirror::applyUpdate(const StoreUpdate& update)
{
    for (const StoreItem& item : update.items)
        apply(item);
    if (update.otherKeys) {
        std::set<std::string_view> existing(update.otherKeys->begin(), update.otherKeys->end());
        for (const StoreItem& item : update.items) {
            if (item.value)
                existing.insert(item.key);
        }
        removeOthers(update.revision, [&](const std::string& key) { return existing.contains(key); });
    }
    if (update.since > m_revision)
        return false;
    if (update.otherKeys && update.revision > m_revision)
        m_removalsKnownSince = update.revision;
    setCompleteRevision(update.revision);
    return true;
}

void StoreMirror::setCompleteRevision(std::uint64_t revision) { m_revision = std::max(m_revision, revision); }

StoreUpdate StoreMirror::changesSince(std::uint64_t since) const
{
    StoreUpdate update { since, m_revision, {}, std::nullopt };
    if (since < m_removalsKnownSince)
        update.otherKeys.emplace();
    for (const auto& [key, item] : m_items) {
        if (item.revision > since)
            update.items.push_back(item);
        else if (update.otherKeys && item.value)
            update.otherKeys->push_back(key);
    }
    return update;
}

} // namespace Ebonystack
