// Keeps the runs in the order of their deadlines.
#include "coordination/UpstreamRuns.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Deadlines travel as the milliseconds that are left, rounded down at each step.
constexpr Duration maxRoundingError = 3ms;
/// The time for which a call may be under way from the upstream to its node makes its deadline appear later.
constexpr Duration maxTransitTime = 40ms;

} // namespace

RunId UpstreamRuns::start(Instant deadline, double treeValue)
{
    const RunId id = ++m_lastId;
    m_runs[id] = { deadline, treeValue, false };
    m_byDeadline.emplace(deadline, id);
    return id;
}

bool UpstreamRuns::end(RunId id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return false;
    const Run run = found->second;
    m_runs.erase(found);
    const auto [first, last] = m_byDeadline.equal_range(run.deadline);
    m_byDeadline.erase(std::find_if(first, last, [id](const auto& item) { return item.second == id; }));
    return run.hasRefusedCall;
}

std::optional<RunId> UpstreamRuns::findParent(Instant callDeadline) const
{
    const auto after = m_byDeadline.lower_bound(callDeadline);
    std::optional<RunId> nearest;
    Duration distance = maxTransitTime;
    if (after != m_byDeadline.begin()) {
        const auto before = std::prev(after);
        if (callDeadline - before->first <= distance) {
            nearest = before->second;
            distance = callDeadline - before->first;
        }
    }
    if (after != m_byDeadline.end() && after->first - callDeadline <= std::min(distance, maxRoundingError))
        nearest = after->second;
    return nearest;
}

double UpstreamRuns::treeValue(RunId id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? 0 : found->second.treeValue;
}

void UpstreamRuns::recordRefusedCall(RunId id)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end())
        found->second.hasRefusedCall = true;
}

} // namespace Ebonystack
