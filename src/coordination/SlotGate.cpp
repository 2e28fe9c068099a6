// Counts the running requests and orders the queue by rank and time of arrival.
#include "coordination/SlotGate.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

/// One slot in this many, rounded up, stays free: many upstreams slow down when all slots are in use.
constexpr std::uint32_t slotsPerSpareSlot = 18;
constexpr double serviceTimeSmoothing = 0.05; // weight of a new sample in the moving average

/// Delay per rank. Route priorities are 16 ranks apart, so a non-idempotent request starts before reads that
/// arrived up to 30 ms earlier. That is long compared with the fluctuation of arrivals and short compared
/// with target latencies.
constexpr Duration delayPerRank = std::chrono::milliseconds(1);

Instant effectiveArrivalOf(int rank, Instant arrival) { return arrival + delayPerRank * rank; }

std::uint32_t limitFor(std::uint32_t slots)
{
    return std::max<std::uint32_t>(1, slots - (slots + slotsPerSpareSlot - 1) / slotsPerSpareSlot);
}

} // namespace

std::vector<GateTicket> SlotGate::setSlots(std::uint32_t slots, Instant now)
{
    m_limit = limitFor(std::max<std::uint32_t>(slots, 1));
    return startWaiting(now);
}

std::vector<GateTicket> SlotGate::setRequestLimit(std::optional<double> requestsPerSecond, Instant now)
{
    m_pacer.setRate(requestsPerSecond, now);
    return startWaiting(now);
}

bool SlotGate::startAgain(Instant now)
{
    if (!m_pacer.mayStart(now))
        return false;
    m_pacer.recordStart(now);
    return true;
}

GateDecision SlotGate::arrive(const GateRequest& request, Instant now)
{
    if (mayStart(now) && m_waiting.empty()) {
        recordStart(now);
        return GateDecision::Run;
    }
    if (now + expectedWait(request.rank, now) > request.latestStart)
        return GateDecision::Refused;
    const QueuePosition position { effectiveArrivalOf(request.rank, now), ++m_lastSequence };
    m_waiting.emplace(position, request);
    m_positions.emplace(request.ticket, position);
    return GateDecision::Queued;
}

std::vector<GateTicket> SlotGate::depart(Duration serviceTime, Instant now)
{
    if (m_running > 0)
        --m_running;
    const double mean = toSeconds(m_meanServiceTime);
    m_meanServiceTime = fromSeconds(mean + serviceTimeSmoothing * (toSeconds(serviceTime) - mean));
    return startWaiting(now);
}

bool SlotGate::withdraw(GateTicket ticket)
{
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end())
        return false;
    m_waiting.erase(found->second);
    m_positions.erase(found);
    return true;
}

std::vector<GateTicket> SlotGate::expire(Instant now)
{
    std::vector<GateTicket> expired;
    for (const auto& [position, request] : m_waiting) {
        if (request.latestStart < now)
            expired.push_back(request.ticket);
    }
    for (const GateTicket ticket : expired)
        withdraw(ticket);
    return expired;
}

Duration SlotGate::expectedWait(int rank, Instant now) const
{
    if (mayStart(now) && m_waiting.empty())
        return Duration::zero();
    const auto requestsAhead = static_cast<std::int64_t>(std::distance(
        m_waiting.begin(), m_waiting.lower_bound({ effectiveArrivalOf(rank, now), m_lastSequence + 1 })));
    return std::max(m_meanServiceTime * (requestsAhead + 1) / std::max<std::int64_t>(m_limit, 1),
        m_pacer.timeUntilStart(requestsAhead + 1, now));
}

GateState SlotGate::state() const
{
    std::uint32_t limit = m_limit;
    if (const auto rate = m_pacer.rate()) {
        const double running = std::round(*rate * toSeconds(m_meanServiceTime));
        limit = static_cast<std::uint32_t>(std::clamp<double>(running, 1, m_limit));
    }
    return { m_running, static_cast<std::uint32_t>(m_waiting.size()), limit };
}

void SlotGate::recordStart(Instant now)
{
    ++m_running;
    m_pacer.recordStart(now);
}

std::vector<GateTicket> SlotGate::startWaiting(Instant now)
{
    std::vector<GateTicket> started;
    for (auto next = m_waiting.begin(); next != m_waiting.end() && mayStart(now);) {
        const GateRequest request = next->second;
        if (request.latestStart < now) {
            ++next; // `expire` removes the request
            continue;
        }
        recordStart(now);
        started.push_back(request.ticket);
        m_positions.erase(request.ticket);
        next = m_waiting.erase(next);
    }
    return started;
}

} // namespace Ebonystack
