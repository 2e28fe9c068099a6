// Runs the fleet and its callers and computes the measures from the outcomes of all requests.
#include "lab/SimulationRun.h"

#include "lab/SimulatedCallers.h"
#include "lab/WorthBound.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration warmUp = 2s; // nodes exchange heartbeats before the traffic begins
constexpr Duration recoveryWindow = 1s;
constexpr double recoveredWorthShare = 0.95; // of the worth requested in a window

struct WorthTotals {
    double requestedWorth { 0 };
    double earnedWorth { 0 };
    double requestCount { 0 };
    double served { 0 };

    void add(const CallerOutcome& outcome)
    {
        requestedWorth += outcome.kind->worth;
        earnedWorth += outcome.earnedWorth();
        requestCount += 1;
        served += outcome.result == CallerResult::Served ? 1 : 0;
    }
    double worthShare() const { return requestedWorth > 0 ? earnedWorth / requestedWorth : 1; }
    double servedShare() const { return requestCount > 0 ? served / requestCount : 1; }
};

KindResult summarizeKind(const std::vector<CallerOutcome>& outcomes)
{
    KindResult result;
    std::vector<Duration> latencies;
    const double requestShare = 1.0 / static_cast<double>(std::max<std::size_t>(outcomes.size(), 1));
    for (const CallerOutcome& outcome : outcomes) {
        ++result.requested;
        if (outcome.result == CallerResult::Served) {
            latencies.push_back(outcome.elapsed);
            (outcome.elapsed <= outcome.kind->targetLatency ? result.inTime : result.late) += requestShare;
        } else if (outcome.result == CallerResult::Refused || outcome.result == CallerResult::RefusedByPlan)
            result.refused += requestShare;
        else
            result.failed += requestShare;
    }
    std::ranges::sort(latencies);
    if (!latencies.empty()) {
        result.median = latencies[latencies.size() / 2];
        result.p99 = latencies[latencies.size() * 99 / 100];
    }
    return result;
}

std::vector<KindResult> summarizeSeconds(const std::vector<CallerOutcome>& outcomes)
{
    std::vector<std::vector<CallerOutcome>> bySecond;
    for (const CallerOutcome& outcome : outcomes) {
        const auto second = static_cast<std::size_t>(toSeconds(outcome.sentAt));
        bySecond.resize(std::max(bySecond.size(), second + 1));
        bySecond[second].push_back(outcome);
    }
    std::vector<KindResult> results;
    std::ranges::transform(bySecond, std::back_inserter(results), summarizeKind);
    return results;
}

/// Seconds from the beginning of the last phase to the first window that earns at least `recoveredWorthShare`
/// of its requested worth; the whole phase when there is none.
double recoverySeconds(const LoadScenario& scenario, const std::vector<CallerOutcome>& outcomes)
{
    const std::size_t phases = scenario.phases.size();
    const Duration from = phases > 1 ? scenario.phases[phases - 2].until : Duration::zero();
    for (Duration at = from; at < scenario.length(); at += recoveryWindow / 4) {
        WorthTotals window;
        for (const CallerOutcome& outcome : outcomes) {
            if (outcome.sentAt >= at && outcome.sentAt < at + recoveryWindow)
                window.add(outcome);
        }
        if (window.worthShare() >= recoveredWorthShare)
            return toSeconds(at - from);
    }
    return toSeconds(scenario.length() - from);
}

/// The times at which the load or a fault of rejecting upstreams changes, in order.
std::set<Duration> changeTimes(const LoadScenario& scenario)
{
    std::set<Duration> times { Duration::zero() };
    for (const LoadPhase& phase : scenario.phases)
        times.insert(phase.until);
    for (const ScenarioFault& fault : scenario.faults) {
        if (fault.kind != ScenarioFaultKind::Reject)
            continue;
        times.insert(std::min(fault.from, scenario.length()));
        times.insert(std::min(fault.until.value_or(scenario.length()), scenario.length()));
    }
    return times;
}

/// The mean of worthBound over the whole run, weighted by the number of requests.
double scenarioWorthBound(const LoadScenario& scenario)
{
    double requested = 0;
    double bound = 0;
    const std::set<Duration> times = changeTimes(scenario);
    for (auto from = times.begin(); std::next(from) != times.end(); ++from) {
        const double load = scenario.loadAt(*from);
        const double weight = load * toSeconds(*std::next(from) - *from);
        requested += weight;
        bound += weight * worthBound(scenario, load, rejectionBoundsAt(scenario, *from));
    }
    return requested > 0 ? bound / requested : 1;
}

/// The share of requests of teams from `firstTeam` on that were rejected because a plan had no token.
double planRefusalShare(const std::vector<CallerOutcome>& outcomes, int firstTeam)
{
    double requested = 0;
    double refused = 0;
    for (const CallerOutcome& outcome : outcomes) {
        if (outcome.team < firstTeam)
            continue;
        ++requested;
        refused += outcome.result == CallerResult::RefusedByPlan ? 1 : 0;
    }
    return requested > 0 ? refused / requested : 0;
}

/// The lowest served share of a team, relative to that of all requests; at most 1.
double worstTeam(const std::map<int, WorthTotals>& teams, double servedShare)
{
    double worst = 1;
    for (const auto& [team, totals] : teams)
        worst = std::min(worst, servedShare > 0 ? totals.servedShare() / servedShare : 1);
    return worst;
}

} // namespace

SimulationResult runScenario(const LoadScenario& scenario, SimulationOptions options, std::uint64_t seed)
{
    SimulatedFleet fleet(scenario, options, seed);
    SimulatedCallers callers(fleet, seed + 1);
    SimulationClock& clock = fleet.clock();
    clock.runUntil(clock.now() + warmUp);
    fleet.scheduleFaults();
    callers.startTraffic(scenario.length());
    Duration maxDeadline = Duration::zero();
    for (const RequestKind& kind : scenario.kinds)
        maxDeadline = std::max(maxDeadline, kind.deadline);
    clock.runUntil(clock.now() + scenario.length() + maxDeadline + 1s);

    const std::vector<CallerOutcome>& outcomes = callers.outcomes();
    WorthTotals all;
    std::map<int, WorthTotals> teams;
    std::map<RouteId, WorthTotals> kinds;
    std::map<RouteId, std::vector<CallerOutcome>> byKind;
    for (const CallerOutcome& outcome : outcomes) {
        all.add(outcome);
        teams[outcome.team].add(outcome);
        kinds[outcome.kind->name].add(outcome);
        byKind[outcome.kind->name].push_back(outcome);
    }
    UpstreamCounters upstreamTotals;
    for (const auto& [service, counters] : fleet.allCounters()) {
        upstreamTotals.arrivals += counters.arrivals;
        upstreamTotals.shed += counters.shed;
        upstreamTotals.slotSeconds += counters.slotSeconds;
        upstreamTotals.wastedSlotSeconds += counters.wastedSlotSeconds;
        upstreamTotals.maxLimitUse = std::max(upstreamTotals.maxLimitUse, counters.maxLimitUse);
        upstreamTotals.lateArrivals += counters.lateArrivals;
    }
    SimulationResult result;
    for (const auto& [kind, list] : byKind) {
        result.kinds[kind] = summarizeKind(list);
        result.seconds[kind] = summarizeSeconds(list);
        result.measures["worth " + kind.text] = kinds[kind].worthShare();
        result.measures["served " + kind.text] = kinds[kind].servedShare();
    }
    result.measures["worth"] = all.worthShare();
    result.measures["bound-share"] = all.worthShare() / scenarioWorthBound(scenario);
    result.measures["served"] = all.servedShare();
    result.measures["worst-team"] = worstTeam(teams, all.servedShare());
    result.measures["wasted"]
        = upstreamTotals.slotSeconds > 0 ? upstreamTotals.wastedSlotSeconds / upstreamTotals.slotSeconds : 0;
    result.measures["upstream-sheds"] = upstreamTotals.arrivals > 0
        ? static_cast<double>(upstreamTotals.shed) / static_cast<double>(upstreamTotals.arrivals)
        : 0;
    result.measures["limit-use"] = upstreamTotals.maxLimitUse;
    result.measures["late-arrivals"] = static_cast<double>(upstreamTotals.lateArrivals);
    result.measures["retry-use"] = fleet.retryUse().maxUse(RetryLimits());
    result.measures["plan-refusals"] = planRefusalShare(outcomes, hotTeam);
    result.measures["others-refused"] = planRefusalShare(outcomes, hotTeam + 1);
    result.measures["recovery"] = recoverySeconds(scenario, outcomes);
    result.measures["cut"] = static_cast<double>(fleet.requestsCutByDrain());
    return result;
}

std::vector<std::string> missedExpectations(const LoadScenario& scenario, const SimulationResult& result)
{
    std::vector<std::string> missed;
    for (const ScenarioExpectation& expectation : scenario.expectations) {
        std::ostringstream text;
        text << expectation.measure << (expectation.atLeast ? " >= " : " <= ") << expectation.bound << ": ";
        const auto found = result.measures.find(expectation.measure);
        if (found == result.measures.end()) {
            missed.push_back(text.str() + "there is no such measure");
            continue;
        }
        const bool holds
            = expectation.atLeast ? found->second >= expectation.bound : found->second <= expectation.bound;
        text << "measured " << found->second;
        if (!holds)
            missed.push_back(text.str());
    }
    return missed;
}

} // namespace Ebonystack
