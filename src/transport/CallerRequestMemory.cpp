// Reserves the announced length of a long request, or steps of one without a length.
#include "transport/CallerRequestMemory.h"

#include "transport/CallerDeadline.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Part of the memory for messages that short requests of callers may have.
constexpr std::size_t shortPartDivisor = 3;
/// How long a request waits for memory: at most this share of its caller's time, and this time.
constexpr double waitShare = 0.5;
constexpr Duration maxWait = 2s;
/// For callers without a deadline.
constexpr Duration defaultWait = 1s;
/// A caller that sends nothing for this time has only memory for what it has sent.
constexpr Duration stallTime = 1s;
/// A request without a length gets memory in steps.
constexpr std::size_t memoryStepBytes = std::size_t { 1 } << 20;

} // namespace

CallerRequestMemory::CallerRequestMemory(SidecarState& state)
    : m_state(state)
    , m_maxShortBytes(SidecarState::messageMemory(state.settings) / shortPartDivisor)
    , m_short(state.memory.budget())
{
}

void CallerRequestMemory::addReceived(CallerConnection& connection, std::size_t bytes)
{
    if (connection.requests.reservation)
        connection.requests.inLong += bytes;
    else
        setShort(connection, connection.requests.inShort + bytes);
}

CallerRequestMemory::Verdict CallerRequestMemory::check(const CallerConnectionPtr& connection, Instant now)
{
    CallerRequestBytes& requests = connection->requests;
    const std::size_t needed = bytesNeeded(*connection);
    if (needed < minLongMessageBytes && !requests.reservation)
        return isShortPartFull() || m_state.memory.budget().isExceeded() ? Verdict::Refuse : Verdict::Read;
    if (take(*connection, needed))
        return Verdict::Read;
    if (!m_state.memory.canEverAdmit(MemoryUse::CallerRequest, needed))
        return Verdict::Refuse;
    return wait(connection, needed, now);
}

std::size_t CallerRequestMemory::bytesNeeded(const CallerConnection& connection) const
{
    const CallerRequestBytes& requests = connection.requests;
    const std::size_t received = requests.reservation ? requests.inLong : requests.inShort;
    if (const auto announced = connection.parser->announcedBodyBytes())
        return static_cast<std::size_t>(*announced);
    return received < minLongMessageBytes ? received
                                          : (received + memoryStepBytes) / memoryStepBytes * memoryStepBytes;
}

/// Reserves `bytes` for the long request of a connection; false if there is no memory.
bool CallerRequestMemory::take(CallerConnection& connection, std::size_t bytes)
{
    CallerRequestBytes& requests = connection.requests;
    const std::size_t held = requests.reservation ? requests.reservation->bytes() : requests.inShort;
    if (bytes > held && !m_state.memory.admits(MemoryUse::CallerRequest, bytes - held))
        return false;
    if (!requests.reservation) {
        requests.reservation = std::make_shared<MemoryBudget::Reservation>(m_state.memory.budget());
        requests.inLong = requests.inShort;
        setShort(connection, 0);
    }
    requests.reservation->resize(std::max(bytes, held));
    return true;
}

CallerRequestMemory::Verdict CallerRequestMemory::wait(
    const CallerConnectionPtr& connection, std::size_t bytes, Instant now)
{
    const RequestHead head = connection->parser->head();
    const auto callersTime
        = readCallerDeadline(head.fields, m_state.adapter.fieldNames().deadline).value_or(defaultWait);
    const Duration time = std::min(fromSeconds(toSeconds(callersTime) * waitShare), maxWait);
    connection->requests.waitId = ++m_lastWaitId;
    m_waiting[m_lastWaitId] = connection;
    connection->stream->pauseReading();
    const std::uint64_t displaced = m_queue.add({ m_lastWaitId, worthOf(head), bytes, now + time });
    if (displaced != 0)
        m_displaced.push_back(displaced);
    return Verdict::Wait;
}

int CallerRequestMemory::worthOf(const RequestHead& head) const
{
    const RouteConfig* route = m_state.config
        ? m_state.config->findRoute(head.fields.find("Host").value_or(""), pathOf(head.target))
        : nullptr;
    return route ? route->priority : 0;
}

void CallerRequestMemory::passOn(CallerConnection& connection, const Body& body, std::size_t left)
{
    CallerRequestBytes& requests = connection.requests;
    if (!requests.reservation)
        return;
    requests.reservation->resize(body.size());
    body.count(std::move(requests.reservation));
    requests = {};
    setShort(connection, left);
}

void CallerRequestMemory::release(CallerConnection& connection, std::size_t left)
{
    CallerRequestBytes& requests = connection.requests;
    if (requests.waitId != 0) {
        m_queue.remove(requests.waitId);
        m_waiting.erase(requests.waitId);
    }
    setShort(connection, left);
    requests = { left, 0, nullptr, 0 };
}

void CallerRequestMemory::checkStalled(CallerConnection& connection, Instant now)
{
    CallerRequestBytes& requests = connection.requests;
    if (!requests.reservation || requests.waitId != 0 || now - connection.lastReceivedAt < stallTime)
        return;
    requests.reservation->resize(requests.inLong);
}

std::vector<CallerConnectionPtr> CallerRequestMemory::admitWaiting()
{
    return removeWaiting(m_queue.admit(
        [this](const LongRequest& request) { return take(*m_waiting.at(request.id), request.bytes); }));
}

std::vector<CallerConnectionPtr> CallerRequestMemory::expireWaiting(Instant now)
{
    std::vector<std::uint64_t> ids = m_queue.expire(now);
    ids.insert(ids.end(), m_displaced.begin(), m_displaced.end());
    m_displaced.clear();
    return removeWaiting(ids);
}

std::vector<CallerConnectionPtr> CallerRequestMemory::removeWaiting(const std::vector<std::uint64_t>& ids)
{
    std::vector<CallerConnectionPtr> connections;
    for (const std::uint64_t id : ids) {
        const auto found = m_waiting.find(id);
        if (found == m_waiting.end())
            continue;
        found->second->requests.waitId = 0;
        connections.push_back(std::move(found->second));
        m_waiting.erase(found);
    }
    return connections;
}

void CallerRequestMemory::setShort(CallerConnection& connection, std::size_t bytes)
{
    m_short.resize(m_short.bytes() - connection.requests.inShort + bytes);
    connection.requests.inShort = bytes;
}

} // namespace Ebonystack
