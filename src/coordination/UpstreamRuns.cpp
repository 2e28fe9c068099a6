// Keeps the runs that wait for no call in the order of their deadlines.
#include "coordination/UpstreamRuns.h"

#include <algorithm>
#include <utility>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Deadlines travel as the milliseconds that are left, rounded down at each step.
constexpr Duration maxRoundingError = 3ms;
/// The time for which a call may be under way from the upstream to its node makes its deadline appear later.
constexpr Duration maxTransitTime = 40ms;
/// From the refusal of a call until the failure of the run that made it.
constexpr Duration maxTimeToFailure = 50ms;

} // namespace

RunId UpstreamRuns::start(UpstreamRun run)
{
    const RunId id = ++m_lastId;
    m_waitingForNone.emplace(run.deadline, id);
    m_runs.emplace(id, Entry { std::move(run) });
    return id;
}

std::optional<UpstreamRun> UpstreamRuns::end(RunId id, bool failed, Instant now)
{
    auto ended = m_runs.extract(id);
    if (ended.empty())
        return std::nullopt;
    UpstreamRun run = std::move(ended.mapped().run);
    m_waitingForNone.erase({ run.deadline, id });
    if (failed && !run.hasRefusedCall)
        run.hasRefusedCall = takeRefusal(now);
    return run;
}

void UpstreamRuns::recordRepeat(RunId id)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end())
        found->second.run.repeatShare = 1;
}

RunId UpstreamRuns::startCall(const RouteId& callee, Instant callDeadline)
{
    const auto id = findParent(callDeadline);
    if (!id)
        return 0;
    Entry& parent = m_runs.at(*id);
    ++parent.openCalls;
    ++parent.run.calls[callee];
    m_waitingForNone.erase({ parent.run.deadline, *id });
    return *id;
}

void UpstreamRuns::endCall(RunId id, bool refused, Instant now)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        if (refused && id == 0) {
            removeOldRefusals(now);
            m_refusals.push_back(now);
        }
        return;
    }
    Entry& parent = found->second;
    parent.run.hasRefusedCall = parent.run.hasRefusedCall || refused;
    if (--parent.openCalls == 0)
        m_waitingForNone.emplace(parent.run.deadline, id);
}

const UpstreamRun* UpstreamRuns::find(RunId id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : &found->second.run;
}

std::optional<RunId> UpstreamRuns::findParent(Instant callDeadline) const
{
    const auto after = m_waitingForNone.lower_bound({ callDeadline, 0 });
    std::optional<RunId> nearest;
    Duration distance = maxTransitTime;
    if (after != m_waitingForNone.begin()) {
        const auto before = std::prev(after);
        if (callDeadline - before->first <= distance) {
            nearest = before->second;
            distance = callDeadline - before->first;
        }
    }
    if (after != m_waitingForNone.end()
        && after->first - callDeadline <= std::min(distance, maxRoundingError))
        nearest = after->second;
    return nearest;
}

bool UpstreamRuns::takeRefusal(Instant now)
{
    removeOldRefusals(now);
    if (m_refusals.empty())
        return false;
    m_refusals.pop_front();
    return true;
}

void UpstreamRuns::removeOldRefusals(Instant now)
{
    while (!m_refusals.empty() && m_refusals.front() < now - maxTimeToFailure)
        m_refusals.pop_front();
}

} // namespace Ebonystack
