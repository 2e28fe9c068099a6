// Ranks connections by what they are used for, then by age or rate.
#include "coordination/CallerEviction.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// A caller on the same VM needs milliseconds for a message of ordinary length.
constexpr double minSlowSeconds = 1;

/// The lowest is closed first.
struct Rank {
    int group;
    double order;

    std::partial_ordering operator<=>(const Rank&) const = default;
};

double rateOf(const CallerActivity& activity)
{
    return static_cast<double>(activity.moved) / activity.ageSeconds;
}

bool isSlow(const CallerActivity& activity) { return activity.ageSeconds >= minSlowSeconds; }

bool isSlowIn(const CallerActivity& activity, CallerPhase phase)
{
    return activity.phase == phase && activity.held > 0 && isSlow(activity);
}

std::optional<Rank> rankOf(const CallerActivity& activity)
{
    switch (activity.phase) {
    case CallerPhase::Closing:
        return Rank { 0, -activity.ageSeconds };
    case CallerPhase::Idle:
        return Rank { 1, -activity.ageSeconds };
    case CallerPhase::Receiving:
    case CallerPhase::Sending:
        return isSlow(activity) ? std::optional(Rank { 2, rateOf(activity) }) : std::nullopt;
    case CallerPhase::Serving:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::size_t> connectionToClose(const std::vector<CallerActivity>& activities)
{
    std::optional<std::size_t> chosen;
    std::optional<Rank> lowest;
    for (std::size_t i = 0; i < activities.size(); ++i) {
        const auto rank = rankOf(activities[i]);
        if (rank && (!lowest || *rank < *lowest)) {
            lowest = rank;
            chosen = i;
        }
    }
    return chosen;
}

std::vector<std::size_t> slowestOf(
    const std::vector<CallerActivity>& activities, CallerPhase phase, std::size_t bytes)
{
    std::vector<std::size_t> slow;
    for (std::size_t i = 0; i < activities.size(); ++i) {
        if (isSlowIn(activities[i], phase))
            slow.push_back(i);
    }
    std::ranges::sort(slow, {}, [&](std::size_t i) { return rateOf(activities[i]); });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < slow.size() && freed < bytes)
        freed += activities[slow[count++]].held;
    slow.resize(count);
    return slow;
}

std::size_t heldBySlow(const std::vector<CallerActivity>& activities, CallerPhase phase)
{
    std::size_t held = 0;
    for (const CallerActivity& activity : activities)
        held += isSlowIn(activity, phase) ? activity.held : 0;
    return held;
}

} // namespace Ebonystack
