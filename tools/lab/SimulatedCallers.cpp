// Poisson arrivals of requests, their attempts and outcomes.
#include "lab/SimulatedCallers.h"

#include "protocol/ResultCode.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration callerDelay = 1ms; // one way, to a node of the caller's data centre
/// Callers wait as Retry-After says, but at most for this share of their remaining time.
constexpr double maxRetryWaitShare = 0.33;
/// A caller whose data centre has no node looks for one again after this time.
constexpr Duration reconnectDelay = 200ms;
constexpr std::uint16_t statusOk = 200;
constexpr std::uint16_t statusTooManyRequests = 429;
constexpr std::uint16_t statusServiceUnavailable = 503;

bool isNotRunStatus(std::uint16_t status)
{
    return status == statusTooManyRequests || status == statusServiceUnavailable;
}

bool isPlanRefusal(const HttpResponse& response)
{
    const auto code = response.head.fields.find("Ebony-Result").value_or("");
    return code == std::to_string(static_cast<int>(ResultCode::PlanExceeded))
        || code == std::to_string(static_cast<int>(ResultCode::PlanGrantsUnavailable));
}

} // namespace

double CallerOutcome::earnedWorth() const
{
    if (result != CallerResult::Served)
        return 0;
    return elapsed <= kind->targetLatency ? kind->worth : kind->worth * kind->lateWorth;
}

SimulatedCallers::SimulatedCallers(SimulatedFleet& fleet, std::uint64_t seed)
    : m_fleet(fleet)
    , m_scenario(fleet.scenario())
    , m_random(seed)
{
    for (int team = 0; team < m_scenario.teams.count; ++team)
        m_teamShares.push_back(teamLoadShare(m_scenario.teams, team));
    fleet.onVmLost([this](const VmId& vm) { onVmLost(vm); });
}

void SimulatedCallers::startTraffic(Duration length)
{
    m_startedAt = m_fleet.clock().now();
    m_trafficLength = length;
    scheduleNextRequest();
}

double SimulatedCallers::rateOf(const RequestKind& kind, int team) const
{
    const Duration time = m_fleet.clock().now() - m_startedAt;
    double rate
        = kind.requestsPerSecond * m_scenario.loadAt(time) * m_teamShares[static_cast<std::size_t>(team)];
    for (const ScenarioFault& fault : m_scenario.faults) {
        const bool applies = fault.kind == ScenarioFaultKind::HotTeam && team == hotTeam && time >= fault.from
            && (!fault.until || time < *fault.until);
        if (applies)
            rate *= fault.factor;
    }
    return rate;
}

void SimulatedCallers::scheduleNextRequest()
{
    double total = 0;
    for (const RequestKind& kind : m_scenario.kinds) {
        for (int team = 0; team < m_scenario.teams.count; ++team)
            total += rateOf(kind, team);
    }
    const double interval = -std::log(1 - m_random.uniform()) / std::max(total, 1e-3);
    m_fleet.clock().after(fromSeconds(interval), [this] {
        if (m_fleet.clock().now() - m_startedAt >= m_trafficLength)
            return;
        send();
        scheduleNextRequest();
    });
}

void SimulatedCallers::send()
{
    std::vector<std::pair<const RequestKind*, int>> choices;
    std::vector<double> cumulativeRates;
    double total = 0;
    for (const RequestKind& kind : m_scenario.kinds) {
        for (int team = 0; team < m_scenario.teams.count; ++team) {
            choices.emplace_back(&kind, team);
            total += rateOf(kind, team);
            cumulativeRates.push_back(total);
        }
    }
    const auto chosen
        = std::ranges::upper_bound(cumulativeRates, m_random.uniform() * total) - cumulativeRates.begin();
    const auto [kind, team] = choices[std::min(static_cast<std::size_t>(chosen), choices.size() - 1)];
    const Instant now = m_fleet.clock().now();
    auto request = std::make_shared<Request>();
    request->id = m_nextId++;
    request->kind = kind;
    request->team = team;
    request->dataCentre
        = { "dc" + std::to_string(m_random.below(static_cast<std::uint64_t>(m_scenario.dataCentres))) };
    request->sentAt = now;
    request->deadline = now + kind->deadline;
    request->attemptsLeft = 1 + kind->retries;
    m_openRequests[request->id] = request;
    m_fleet.clock().after(kind->deadline, [this, request] { timeOut(request); });
    sendAttempt(request);
}

void SimulatedCallers::sendAttempt(const RequestPtr& request)
{
    if (!m_openRequests.contains(request->id))
        return;
    SimulatedNode* node = m_fleet.pickEntryNode(request->dataCentre, m_random);
    if (!node) {
        m_fleet.clock().after(reconnectDelay, [this, request] { sendAttempt(request); });
        return;
    }
    --request->attemptsLeft;
    const int attempt = ++request->attemptsMade;
    request->node = node->spec().record.vm;
    request->call = 0;
    m_fleet.clock().after(callerDelay, [this, request, attempt] {
        SimulatedNode* receiver = m_fleet.find(request->node);
        if (!receiver || !m_openRequests.contains(request->id))
            return;
        const SimplePlatformAdapter adapter;
        HttpRequest sent
            = m_fleet.makeRequest(request->kind->name, request->deadline - m_fleet.clock().now());
        sent.head.fields.add(adapter.fieldNames().requestId,
            "c" + std::to_string(request->id) + '-' + std::to_string(attempt));
        sent.head.fields.add(adapter.fieldNames().apiKey, "Bearer " + teamApiKey(request->team));
        m_fleet.recordRequest(request->kind->name);
        const CallId call = receiver->entry().begin(
            std::move(sent), [this, request, attempt](HttpResponse response) {
                m_fleet.clock().after(callerDelay, [this, request, attempt, response = std::move(response)] {
                    onResponse(request, attempt, response);
                });
            });
        request->call = call;
    });
}

void SimulatedCallers::onResponse(const RequestPtr& request, int attempt, const HttpResponse& response)
{
    if (!m_openRequests.contains(request->id) || attempt != request->attemptsMade)
        return;
    request->node = {};
    if (response.head.status == statusOk)
        return finish(request, CallerResult::Served);
    if (!isNotRunStatus(response.head.status))
        return finish(request, CallerResult::Failed);
    if (request->attemptsLeft == 0)
        return finish(request, isPlanRefusal(response) ? CallerResult::RefusedByPlan : CallerResult::Refused);
    const auto retryAfter = response.head.fields.find("Retry-After");
    const double remainingSeconds = toSeconds(request->deadline - m_fleet.clock().now());
    const double wait = std::min(
        retryAfter ? std::stod(std::string(*retryAfter)) : 0, remainingSeconds * maxRetryWaitShare);
    m_fleet.clock().after(fromSeconds(wait), [this, request] { sendAttempt(request); });
}

void SimulatedCallers::onVmLost(const VmId& vm)
{
    std::vector<RequestPtr> lost;
    for (const auto& [id, request] : m_openRequests) {
        if (request->node == vm)
            lost.push_back(request);
    }
    for (const RequestPtr& request : lost)
        finish(request, CallerResult::Failed);
}

void SimulatedCallers::timeOut(const RequestPtr& request)
{
    if (!m_openRequests.contains(request->id))
        return;
    if (SimulatedNode* node = request->call != 0 ? m_fleet.find(request->node) : nullptr)
        node->entry().cancel(request->call);
    finish(request, CallerResult::TimedOut);
}

void SimulatedCallers::finish(const RequestPtr& request, CallerResult result)
{
    m_openRequests.erase(request->id);
    m_outcomes.push_back({ request->kind, request->team, request->sentAt - m_startedAt,
        m_fleet.clock().now() - request->sentAt, result });
}

} // namespace Ebonystack
