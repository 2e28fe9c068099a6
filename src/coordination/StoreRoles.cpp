// Counts the candidates that rank before the local node.
#include "coordination/StoreRoles.h"

#include "state/Rendezvous.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Readers pass changes on, so their interval adds to the time until a change is in force everywhere. It
/// grows with the number of data centres, and so of readers.
constexpr Duration readerIntervalPerDataCentre = 150ms;
constexpr Duration minReaderInterval = 250ms;
constexpr Duration maxReaderInterval = 1s;
/// A standby's interval and wait in the reader's. It is woken by few of the changes that the reader has
/// passed on by then.
constexpr int standbyFactor = 3;
/// An outage of the store in which records lapse lasts at least as long, so no node misses it.
constexpr Duration probeInterval = 3s;

} // namespace

StoreRole storeRoleOf(
    const VmId& local, const DataCentre& dataCentre, const std::vector<StoreRoleCandidate>& candidates)
{
    const bool anyReachesStore = std::ranges::any_of(candidates, &StoreRoleCandidate::reachesStore);
    const auto rankKey
        = [&](const VmId& vm) { return std::pair(rendezvousWeight(dataCentre.text, vm.text), vm.text); };
    const auto localKey = rankKey(local);
    std::size_t ahead = 0;
    for (const StoreRoleCandidate& candidate : candidates) {
        const bool isEligible = candidate.reachesStore || !anyReachesStore;
        if (candidate.vm == local && !isEligible)
            return StoreRole::Follower;
        if (isEligible && candidate.vm != local && rankKey(candidate.vm) > localKey)
            ++ahead;
    }
    constexpr std::array roles { StoreRole::Reader, StoreRole::Standby };
    return ahead < roles.size() ? roles.at(ahead) : StoreRole::Follower;
}

Duration callIntervalOf(StoreRole role, std::size_t dataCentres)
{
    const Duration readerInterval
        = std::clamp(readerIntervalPerDataCentre * static_cast<Duration::rep>(dataCentres), minReaderInterval,
            maxReaderInterval);
    switch (role) {
    case StoreRole::Reader:
        return readerInterval;
    case StoreRole::Standby:
        return readerInterval * standbyFactor;
    case StoreRole::Follower:
        break;
    }
    return probeInterval;
}

StoreCallPlan callPlanOf(StoreRole role, std::size_t dataCentres)
{
    StoreCallPlan plan;
    plan.mode = role == StoreRole::Follower ? StoreMode::Probe : StoreMode::Watch;
    plan.interval = callIntervalOf(role, dataCentres);
    plan.watchWait = role == StoreRole::Reader ? readerWatchWait : readerWatchWait * standbyFactor;
    return plan;
}

std::string_view describe(StoreRole role)
{
    constexpr std::array<std::string_view, 3> names { "reader", "standby", "follower" };
    return names.at(static_cast<std::size_t>(role));
}

} // namespace Ebonystack
