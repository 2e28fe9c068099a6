// Applies changes: of two versions of an item the one with the higher store revision is kept.
#include "coordination/StoreMirror.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace Ebonystack {

StoreMirror::StoreMirror(Listener listener, LossListener lossListener)
    : m_listener(std::move(listener))
    , m_lossListener(std::move(lossListener))
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

StoreMirror::Items StoreMirror::enterEra(std::uint64_t era)
{
    m_era = era;
    m_revision = 0;
    m_removalsKnownSince = 0;
    return std::exchange(m_items, {});
}

void StoreMirror::reportLosses(const Items& previous)
{
    for (const auto& [key, item] : previous) {
        const auto found = m_items.find(key);
        const bool exists = found != m_items.end() && found->second.value;
        if (item.value && !exists && m_lossListener)
            m_lossListener(key);
    }
}

void StoreMirror::applyListing(
    const std::string& prefix, const std::vector<StoreItem>& items, const StorePosition& position)
{
    if (position.era < m_era)
        return;
    const Items previous = position.era > m_era ? enterEra(position.era) : Items {};
    std::set<std::string> listed;
    for (const StoreItem& item : items) {
        listed.insert(item.key);
        apply(item);
    }
    removeOthers(position.revision,
        [&](const std::string& key) { return !key.starts_with(prefix) || listed.contains(key); });
    if (position.revision > m_revision)
        m_removalsKnownSince = position.revision;
    setCompleteRevision(position.revision);
    reportLosses(previous);
}

template <typename Predicate> void StoreMirror::removeOthers(std::uint64_t revision, Predicate&& exists)
{
    if (revision <= m_revision)
        return; // what it lacks was removed before, or written since
    std::vector<StoreItem> removed;
    for (const auto& [key, item] : m_items) {
        if (item.value && item.revision <= revision && !exists(key))
            removed.push_back({ key, std::max(item.revision, m_revision) + 1, std::nullopt });
    }
    for (const StoreItem& item : removed)
        apply(item);
}

bool StoreMirror::applyUpdate(const StoreUpdate& update)
{
    const std::uint64_t era = update.era.value_or(m_era);
    if (era < m_era)
        return true; // the sender is behind
    if (era > m_era && update.since > 0)
        return false;
    const Items previous = era > m_era ? enterEra(era) : Items {};
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
    reportLosses(previous);
    return true;
}

void StoreMirror::setCompleteRevision(std::uint64_t revision) { m_revision = std::max(m_revision, revision); }

void StoreMirror::confirm(const StorePosition& position, Instant time)
{
    if (m_revision == 0 || position > this->position() || (m_confirmedAt && *m_confirmedAt >= time))
        return;
    m_confirmedAt = time;
    m_confirmedPosition = position;
}

std::optional<Instant> StoreMirror::confirmedAt(const StorePosition& position) const
{
    return m_confirmedPosition <= position ? m_confirmedAt : std::nullopt;
}

StoreUpdate StoreMirror::changesSince(const StorePosition& since) const
{
    StoreUpdate update { since.era == m_era ? since.revision : 0, m_revision, {}, std::nullopt, m_era };
    if (update.since < m_removalsKnownSince)
        update.otherKeys.emplace();
    for (const auto& [key, item] : m_items) {
        if (item.revision > update.since)
            update.items.push_back(item);
        else if (update.otherKeys && item.value)
            update.otherKeys->push_back(key);
    }
    return update;
}

} // namespace Ebonystack
