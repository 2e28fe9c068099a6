// Keeps the last report of each VM.
#include "coordination/StoreReachability.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// Nodes report with every heartbeat; a VM that has missed several may be down.
constexpr Duration reportLifetime = std::chrono::milliseconds(2500);

/// Older reports are forgotten when a new VM reports. What was known of a VM's contact is used for nodes that
/// don't report it themselves, so that reports are kept for longer than they count.
constexpr Duration reportRetention = std::chrono::minutes(10);

bool hasSharedOutage(const StoreContact& contact, const StoreOutage& outage)
{
    if (contact.lostAfter)
        return *contact.lostAfter < outage.endedBy;
    const auto& last = contact.lastOutage;
    return last && last->beganAfter < outage.endedBy && outage.beganAfter < last->endedBy;
}

} // namespace

StoreContact StoreReachability::contactAfter(const Report* previous, bool reachesStore, Instant now)
{
    StoreContact contact = previous ? previous->contact : StoreContact {};
    if (!reachesStore) {
        contact.lostAfter = contact.lostAfter.value_or(Instant()); // since when is not known
        return contact;
    }
    if (contact.lostAfter)
        contact.lastOutage = StoreOutage { *contact.lostAfter, previous->at, now };
    contact.lostAfter.reset();
    contact.lastSeen = now;
    return contact;
}

void StoreReachability::report(
    const VmId& vm, bool reachesStore, Instant now, const std::optional<StoreContact>& contact)
{
    const auto known = m_reports.find(vm);
    const Report* previous = known == m_reports.end() ? nullptr : &known->second;
    if (!previous)
        std::erase_if(m_reports, [&](const auto& item) { return now - item.second.at > reportRetention; });
    const Report report { reachesStore, now, contact ? *contact : contactAfter(previous, reachesStore, now) };
    m_reports.insert_or_assign(vm, report);
}

const StoreReachability::Report* StoreReachability::recentReport(const VmId& vm, Instant now) const
{
    const auto found = m_reports.find(vm);
    return found == m_reports.end() || now - found->second.at > reportLifetime ? nullptr : &found->second;
}

StoreReachabilityState StoreReachability::stateOf(const VmId& vm, Instant now) const
{
    const Report* report = recentReport(vm, now);
    if (!report)
        return StoreReachabilityState::Unknown;
    return report->reachesStore ? StoreReachabilityState::Reachable : StoreReachabilityState::Unreachable;
}

bool StoreReachability::isFleetOutage(const VmId& vm, const StoreOutage& outage, Instant now) const
{
    const auto isRecent
        = [&](const auto& item) { return item.first != vm && now - item.second.at <= reportLifetime; };
    const auto recent = std::ranges::count_if(m_reports, isRecent);
    const auto sharing = std::ranges::count_if(m_reports,
        [&](const auto& item) { return isRecent(item) && hasSharedOutage(item.second.contact, outage); });
    return 2 * sharing > recent;
}

std::optional<Instant> StoreReachability::firstOutageEndAfter(Instant time, Instant now) const
{
    std::optional<Instant> first;
    for (const auto& [vm, report] : m_reports) {
        const StoreContact& contact = report.contact;
        const bool hasRegained
            = now - report.at <= reportLifetime && !contact.lostAfter && contact.lastOutage.has_value();
        if (!hasRegained || contact.lastOutage->endedBy <= time)
            continue;
        first = std::min(first.value_or(Instant::max()), contact.lastOutage->endedBy);
    }
    return first;
}

std::optional<StoreContact> StoreReachability::contactOf(const VmId& vm, Instant now) const
{
    const Report* report = recentReport(vm, now);
    return report ? std::optional(report->contact) : std::nullopt;
}

} // namespace Ebonystack
