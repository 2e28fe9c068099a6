// Parses the sidecar's requests and executes them on the virtual clock.
#include "lab/SimulatedUpstream.h"

#include "lab/SimplePlatformAdapter.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxQueueLength = 108; // what most services state for their upstreams
constexpr double coldSlowdown = 2; // likewise
constexpr Duration shedResponseDelay = 500us; // the time to reject a request
/// Arrivals that an upstream which names a limit tolerates: this multiple of the limit, plus toleratedExtra.
constexpr double toleratedExcess = 1.5;
constexpr double toleratedExtra = 5;
constexpr std::uint16_t statusOk = 200;
constexpr std::uint16_t statusFailed = 500;
constexpr std::uint16_t statusShed = 503;
constexpr std::uint16_t statusTimeout = 504;
constexpr std::uint32_t maxHeaderBytes = 16384;
constexpr std::uint64_t maxBodyBytes = 1 << 20;

/// Returns the request kind, which is the first segment of the path.
RouteId kindOf(const std::string& target) { return { target.substr(1, target.find('/', 1) - 1) }; }

} // namespace

SimulatedUpstream::SimulatedUpstream(SimulationClock& clock, const LoadScenario& scenario,
    std::uint32_t slots, double speed, std::uint64_t seed, UpstreamCounters& counters, RetryUse& retryUse,
    MakeNestedCall makeNestedCall)
    : m_clock(clock)
    , m_scenario(scenario)
    , m_slots(slots)
    , m_speed(speed)
    , m_random(seed)
    , m_counters(counters)
    , m_retryUse(retryUse)
    , m_makeNestedCall(std::move(makeNestedCall))
{
}

ExchangeId SimulatedUpstream::send(UpstreamRequest sent, Callback done)
{
    RequestParser parser(maxHeaderBytes, maxBodyBytes);
    parser.feed(sent.head + std::string(sent.body.view()));
    const HttpRequest request = parser.take();
    const SimplePlatformAdapter adapter;
    const auto remainingMs = request.head.fields.find(adapter.fieldNames().deadline).value_or("0");
    auto execution = std::make_shared<Execution>();
    execution->exchange = m_nextExchange++;
    execution->kind = m_scenario.findKind(kindOf(request.head.target));
    execution->id = sent.id;
    execution->done = std::move(done);
    execution->deadline = m_clock.now() + std::chrono::milliseconds(std::stoll(std::string(remainingMs)));
    m_executions[execution->exchange] = execution;
    ++m_counters.arrivals;
    countLimitedArrival();
    execution->isRepeat = m_retryUse.recordArrival(execution->kind->service, execution->id, m_clock.now());
    m_clock.after(execution->deadline - m_clock.now(), [weak = weak_from_this(), execution] {
        if (const auto self = weak.lock())
            self->finish(execution, statusTimeout);
    });
    const bool isRejected = occurs(m_rejectedShare);
    if (!isRejected && m_running < m_slots)
        start(execution);
    else if (!isRejected && m_waiting.size() < maxQueueLength)
        m_waiting.push_back(execution);
    else
        reject(execution);
    return execution->exchange;
}

void SimulatedUpstream::setNamedLimit(double requestsPerSecond)
{
    m_namedLimit = requestsPerSecond;
    m_limitNamedAt.reset();
    m_limitedArrivals.clear();
}

void SimulatedUpstream::setLeaving(double leaving)
{
    m_leaving = leaving > 0;
    m_leavingNamedAt.reset();
}

void SimulatedUpstream::countLimitedArrival()
{
    const Instant now = m_clock.now();
    if (m_leavingNamedAt && now > *m_leavingNamedAt + drainTime)
        ++m_counters.lateArrivals;
    if (!m_limitNamedAt || now < *m_limitNamedAt + limitGrace)
        return;
    m_limitedArrivals.push_back(now);
    while (m_limitedArrivals.front() <= now - limitWindow)
        m_limitedArrivals.pop_front();
    const double tolerated = toleratedExcess * m_namedLimit * toSeconds(limitWindow) + toleratedExtra;
    m_counters.maxLimitUse
        = std::max(m_counters.maxLimitUse, static_cast<double>(m_limitedArrivals.size()) / tolerated);
}

void SimulatedUpstream::addNotice(HttpFields& fields)
{
    const SimplePlatformAdapter adapter;
    if (m_namedLimit > 0) {
        fields.add(adapter.fieldNames().requestLimit, std::to_string(m_namedLimit));
        m_limitNamedAt = m_limitNamedAt.value_or(m_clock.now());
    }
    if (m_leaving) {
        fields.add(adapter.fieldNames().leaving, "1");
        m_leavingNamedAt = m_leavingNamedAt.value_or(m_clock.now());
    }
}

void SimulatedUpstream::reject(const ExecutionPtr& execution)
{
    ++m_counters.shed;
    m_clock.after(shedResponseDelay, [weak = weak_from_this(), execution] {
        if (const auto self = weak.lock())
            self->respond(execution, statusShed, true);
    });
}

void SimulatedUpstream::abort(ExchangeId exchange)
{
    const auto found = m_executions.find(exchange);
    if (found == m_executions.end())
        return;
    const ExecutionPtr execution = found->second;
    execution->done = nullptr;
    release(execution, true);
}

void SimulatedUpstream::start(const ExecutionPtr& execution)
{
    ++m_running;
    execution->started = true;
    execution->startedAt = m_clock.now();
    m_clock.after(sampleWork(*execution->kind), [weak = weak_from_this(), execution] {
        const auto self = weak.lock();
        if (self && !execution->ended)
            self->startNextCall(execution);
    });
}

void SimulatedUpstream::startNextCall(const ExecutionPtr& execution)
{
    const auto& calls = execution->kind->calls;
    if (execution->callIndex < calls.size() && execution->callsMade == calls[execution->callIndex].times) {
        ++execution->callIndex;
        execution->callsMade = 0;
    }
    if (execution->callIndex == calls.size())
        return finish(execution, statusOk);
    ++execution->callsMade;
    const RouteId& callee = calls[execution->callIndex].callee;
    const Duration remainingTime
        = std::min(execution->deadline - m_clock.now(), m_scenario.findKind(callee)->deadline);
    execution->cancelCall = m_makeNestedCall(callee, execution->isRepeat, remainingTime,
        [weak = weak_from_this(), execution](std::uint16_t status) {
            const auto self = weak.lock();
            if (!self || execution->ended)
                return;
            execution->cancelCall = nullptr;
            if (status == statusOk)
                self->startNextCall(execution);
            else
                self->finish(execution, statusFailed);
        });
}

void SimulatedUpstream::finish(const ExecutionPtr& execution, std::uint16_t status)
{
    if (execution->ended)
        return;
    respond(execution, status, false);
}

void SimulatedUpstream::respond(const ExecutionPtr& execution, std::uint16_t status, bool notRun)
{
    if (execution->ended)
        return;
    const Callback done = std::move(execution->done);
    release(execution, status != statusOk);
    const SimplePlatformAdapter adapter;
    UpstreamResult result;
    if (!notRun && occurs(m_lostShare)) {
        if (done)
            done({ UpstreamResult::Kind::Lost, {}, true, true });
        return;
    }
    result.kind = UpstreamResult::Kind::Responded;
    result.response.head.status = status;
    result.response.head.fields.add(adapter.fieldNames().requestId, execution->id);
    result.response.head.fields.add(adapter.fieldNames().seal, "lab");
    addNotice(result.response.head.fields);
    if (notRun)
        result.response.head.fields.add(adapter.fieldNames().notRun, "1");
    if (done)
        done(std::move(result));
}

void SimulatedUpstream::release(const ExecutionPtr& execution, bool wasted)
{
    execution->ended = true;
    m_executions.erase(execution->exchange);
    if (execution->cancelCall)
        std::exchange(execution->cancelCall, nullptr)();
    if (!execution->started) {
        std::erase(m_waiting, execution);
        return;
    }
    --m_running;
    const double serviceTime = toSeconds(m_clock.now() - execution->startedAt);
    m_counters.slotSeconds += serviceTime;
    if (wasted)
        m_counters.wastedSlotSeconds += serviceTime;
    if (m_waiting.empty())
        return;
    const ExecutionPtr next = m_waiting.front();
    m_waiting.pop_front();
    start(next);
}

Duration SimulatedUpstream::sampleWork(const RequestKind& kind)
{
    // A log-normal distribution with the kind's mean and spread, from a normal sample by the Box-Muller
    // method.
    const double variance = std::log1p(kind.spread * kind.spread);
    const double normal = std::sqrt(-2 * std::log(1 - m_random.uniform()))
        * std::cos(2 * std::numbers::pi * m_random.uniform());
    const double sample = toSeconds(kind.work) * std::exp(std::sqrt(variance) * normal - variance / 2);
    const double cold = m_clock.now() < m_coldUntil ? coldSlowdown : 1;
    return fromSeconds(sample * m_slowdown * cold / m_speed);
}

} // namespace Ebonystack
