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

} // namespace Ebonystack
