// Keeps the table of upstreams and drops those that have left or whose record was missing for longer than the
// grace period.
#include "coordination/UpstreamDirectory.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Ebonystack {

namespace {

/// Copies of a store are seconds old; a record that was removed earlier is in none.
constexpr Duration endedUpstreamLifetime = std::chrono::minutes(5);
constexpr std::size_t maxEndedUpstreams = 4096;

} // namespace

bool UpstreamDirectory::isOutdated(const UpstreamRecord& record, const StorePosition& position) const
{
    const auto runOf = [](const UpstreamRecord& each) { return std::pair(each.startedAt, each.sequence); };
    if (const auto known = m_upstreams.find(record.instance); known != m_upstreams.end())
        return position.era > known->second.position.era && runOf(record) < runOf(known->second.record);
    const auto ended = m_ended.find(record.instance);
    return ended != m_ended.end() && position.era > ended->second.era
        && runOf(record) <= runOf(ended->second.record);
}

void UpstreamDirectory::put(
    const UpstreamRecord& record, const StorePosition& position, const ChangeTime& written)
{
    ++m_version;
    m_era = std::max(m_era, position.era);
    m_doubted.erase(record.instance);
    const auto known = m_upstreams.find(record.instance);
    if (isOutdated(record, position))
        m_doubted.emplace(record.instance,
            DoubtedRecord { record, position, written, written.heardAt + restoredRecordLapse });
    else if (known == m_upstreams.end() || known->second.record != record
        || known->second.position.era == position.era)
        return accept(record, position, written);
    if (known != m_upstreams.end()) { // published, with no news in it
        known->second.expiresAt.reset();
        known->second.mayHaveLapsed = false;
        known->second.removed.reset();
    }
}

void UpstreamDirectory::accept(
    const UpstreamRecord& record, const StorePosition& position, const ChangeTime& written)
{
    m_ended.erase(record.instance);
    m_upstreams.insert_or_assign(record.instance,
        KnownUpstream { record, position, written.heardAt + record.remainingColdTime, std::nullopt, false,
            written, std::nullopt });
}

void UpstreamDirectory::end(const KnownUpstream& upstream, const ChangeTime& removed, Instant now)
{
    if (m_ended.size() < maxEndedUpstreams)
        m_ended.insert_or_assign(
            upstream.record.instance, EndedUpstream { upstream.record, m_era, removed, now });
}

void UpstreamDirectory::remove(
    const InstanceId& instance, std::optional<Instant> graceUntil, const ChangeTime& removed)
{
    m_doubted.erase(instance);
    const auto found = m_upstreams.find(instance);
    if (found == m_upstreams.end())
        return;
    ++m_version;
    if (graceUntil && !found->second.record.draining) {
        found->second.expiresAt = graceUntil;
        found->second.removed = removed;
        return;
    }
    end(found->second, removed, removed.heardAt);
    m_upstreams.erase(found);
}

void UpstreamDirectory::removeUnlessLapsed(const InstanceId& instance, const ChangeTime& removed)
{
    m_doubted.erase(instance);
    const auto found = m_upstreams.find(instance);
    if (found == m_upstreams.end())
        return;
    ++m_version;
    KnownUpstream& upstream = found->second;
    if (upstream.record.draining) {
        end(upstream, removed, removed.heardAt);
        m_upstreams.erase(found);
        return;
    }
    // A copy that was confirmed without the record, and lacks another removal, has missed a write in between.
    const auto& last = upstream.removed;
    if (last && removed.madeAfter && *removed.madeAfter > last->heardAt)
        upstream.written = { removed.heardAt, removed.madeAfter };
    upstream.removed = removed;
    upstream.mayHaveLapsed = true;
    upstream.expiresAt.reset();
}

void UpstreamDirectory::expire(const StoreReachability& reachability, Instant now)
{
    const auto hasEnded = [&](const KnownUpstream& upstream) {
        if (upstream.mayHaveLapsed)
            return inUseUntil({ upstream.record.vm, upstream.written, *upstream.removed }, reachability,
                       m_heartbeat, now)
                <= now;
        return upstream.expiresAt && *upstream.expiresAt <= now;
    };
    for (auto& [instance, upstream] : m_upstreams) {
        if (upstream.expiresAt)
            upstream.expiresAt
                = std::min(*upstream.expiresAt, inUseAfterRestoreUntil(*upstream.removed, reachability, now));
    }
    m_version += std::erase_if(m_upstreams, [&](const auto& item) {
        if (!hasEnded(item.second))
            return false;
        end(item.second, item.second.removed.value_or(now), now);
        return true;
    });
    m_version += std::erase_if(m_doubted, [&](const auto& item) {
        const DoubtedRecord& doubted = item.second;
        const bool isPublished = doubted.until <= now;
        if (isPublished)
            accept(doubted.record, doubted.position, doubted.written);
        return isPublished;
    });
    std::erase_if(m_ended, [&](const auto& item) { return now - item.second.at > endedUpstreamLifetime; });
}

const std::vector<const KnownUpstream*>& UpstreamDirectory::usable(const ServiceName& service) const
{
    if (std::exchange(m_usableVersion, m_version) != m_version)
        m_usable = findUsable();
    return m_usable[service];
}

std::map<ServiceName, UpstreamDirectory::Upstreams> UpstreamDirectory::findUsable() const
{
    std::unordered_map<std::string_view, const KnownUpstream*> newest; // by address
    for (const auto& [instance, upstream] : m_upstreams) {
        const auto [current, isNew] = newest.try_emplace(upstream.record.address, &upstream);
        if (!isNew && upstream.position > current->second->position)
            current->second = &upstream;
    }
    std::map<ServiceName, Upstreams> usable;
    for (const auto& [instance, upstream] : m_upstreams) {
        if (!upstream.record.draining && newest.at(upstream.record.address) == &upstream)
            usable[upstream.record.service].push_back(&upstream);
    }
    return usable;
}

const KnownUpstream* UpstreamDirectory::newestAtAddress(const std::string& address) const
{
    const KnownUpstream* newest = nullptr;
    for (const auto& [instance, upstream] : m_upstreams) {
        const bool isNewer = !newest || upstream.position > newest->position;
        if (upstream.record.address == address && isNewer)
            newest = &upstream;
    }
    return newest;
}

const KnownUpstream* UpstreamDirectory::find(const InstanceId& instance) const
{
    const auto found = m_upstreams.find(instance);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

std::optional<ChangeTime> UpstreamDirectory::removalOf(const InstanceId& instance) const
{
    const auto found = m_ended.find(instance);
    return found == m_ended.end() ? std::nullopt : std::optional(found->second.removed);
}

std::vector<VmId> UpstreamDirectory::vms() const
{
    return vmsIf([](const KnownUpstream&) { return true; });
}

std::vector<VmId> UpstreamDirectory::publishedVms() const
{
    return vmsIf([](const KnownUpstream& upstream) { return !upstream.removed; });
}

std::vector<VmId> UpstreamDirectory::vmsIn(const DataCentre& dataCentre) const
{
    return vmsIf([&](const KnownUpstream& upstream) { return upstream.record.dataCentre == dataCentre; });
}

std::size_t UpstreamDirectory::dataCentreCount() const
{
    std::set<DataCentre> dataCentres;
    for (const auto& [instance, upstream] : m_upstreams)
        dataCentres.insert(upstream.record.dataCentre);
    return dataCentres.size();
}

template <typename Predicate> std::vector<VmId> UpstreamDirectory::vmsIf(Predicate&& matches) const
{
    std::vector<VmId> vms;
    for (const auto& [instance, upstream] : m_upstreams) {
        if (matches(upstream))
            vms.push_back(upstream.record.vm);
    }
    std::ranges::sort(vms);
    vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
    return vms;
}

} // namespace Ebonystack
