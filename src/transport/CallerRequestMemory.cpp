// Reserves the announced length of a long request, or steps of one without a length.
#include "transport/CallerRequestMemory.h"

#include "coordination/DemandClass.h"
#include "transport/CallerDeadline.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Part of the memory for messages that short requests of callers may have.
constexpr std::size_t shortPartDivisor = 3;
/// How long a request waits for memory: at most this share of its caller's time, and this time. Callers give
/// up an idempotent request that is not read within a second or a third of its time.
constexpr double waitShareOfIdempotent = 0.2;
constexpr Duration maxWaitOfIdempotent = 600ms;
constexpr double waitShareOfNonIdempotent = 0.5;
constexpr Duration maxWaitOfNonIdempotent = 2s;
/// A request is not called slow before this time, or while its last bytes are not older.
constexpr Duration stallTime = 1s;
/// A request without a length gets memory in steps.
constexpr std::size_t memoryStepBytes = std::size_t { 1 } << 20;

/// A request without a route will be refused. The team is not known before the request is read.
double worthOf(const RouteConfig* route)
{
    return route ? Ebonystack::worthOf(DemandClass { route->id, route->priority, 0, false }) : 0;
}

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
    if (requests.waitId != 0)
        return Verdict::Wait;
    const bool isHeadDone = connection->parser->headDone();
    if (isHeadDone && !requests.deadline)
        setDeadline(*connection);
    const std::size_t needed = bytesNeeded(*connection);
    if (requests.reservation && needed <= requests.reservation->bytes())
        return Verdict::Read;
    if ((needed < minLongMessageBytes || !isHeadDone) && !requests.reservation)
        return shortBytesLacking() > 0 ? Verdict::RefuseSlowest : Verdict::Read;
    if (requests.reservation && take(*connection, needed, now))
        return Verdict::Read;
    const RouteConfig* route = routeOf(connection->parser->head());
    if (!requests.reservation && !m_queue.blocks(worthOf(route)) && take(*connection, needed, now))
        return Verdict::Read;
    if (!m_state.memory.canEverAdmit(MemoryUse::CallerRequest, needed))
        return Verdict::Refuse;
    return wait(connection, route, needed, now);
}

/// Also for callers that name no deadline, or one that is later than the route allows.
void CallerRequestMemory::setDeadline(CallerConnection& connection) const
{
    const RequestHead head = connection.parser->head();
    const Duration allowed = longestCallTime(routeOf(head));
    const auto callersTime = readCallerDeadline(head.fields, m_state.adapter.fieldNames().deadline);
    connection.requests.deadline
        = connection.phaseStartedAt + std::min(allowed, callersTime.value_or(allowed));
}

std::size_t CallerRequestMemory::shortBytesLacking() const
{
    const MemoryBudget& all = m_state.memory.budget();
    const std::size_t ofShort = m_short.bytes() - std::min(m_short.bytes(), m_maxShortBytes);
    const std::size_t ofAll = all.heldBytes() - std::min(all.heldBytes(), all.limit());
    return std::max(ofShort, ofAll);
}

std::size_t CallerRequestMemory::longBytesLacking() const
{
    return m_queue.empty() ? 0 : m_state.memory.lacking(MemoryUse::CallerRequest, m_queue.firstBytes());
}

std::size_t CallerRequestMemory::bytesNeeded(const CallerConnection& connection)
{
    const CallerRequestBytes& requests = connection.requests;
    const std::size_t received = requests.reservation ? requests.inLong : requests.inShort;
    const auto announced = connection.parser->announcedBodyBytes();
    if (announced && !requests.isBehind)
        return static_cast<std::size_t>(*announced);
    const std::size_t steps = received < minLongMessageBytes
        ? received
        : (received + memoryStepBytes) / memoryStepBytes * memoryStepBytes;
    return announced ? std::min(steps, static_cast<std::size_t>(*announced)) : steps;
}

/// Reserves `bytes` for the long request of a connection; false if there is no memory.
bool CallerRequestMemory::take(CallerConnection& connection, std::size_t bytes, Instant now)
{
    CallerRequestBytes& requests = connection.requests;
    const std::size_t held = requests.reservation ? requests.reservation->bytes() : requests.inShort;
    if (bytes > held && !m_state.memory.admits(MemoryUse::CallerRequest, bytes - held))
        return false;
    if (!requests.reservation) {
        requests.reservation = std::make_shared<MemoryBudget::Reservation>(m_state.memory.budget());
        requests.inLong = requests.inShort;
        requests.admittedAt = now;
        setShort(connection, 0);
    }
    requests.reservation->resize(std::max(bytes, held));
    return true;
}

CallerRequestMemory::Verdict CallerRequestMemory::wait(
    const CallerConnectionPtr& connection, const RouteConfig* route, std::size_t bytes, Instant now)
{
    CallerRequestBytes& requests = connection->requests;
    const bool mayWaitLong = route && !route->idempotent;
    const double share = mayWaitLong ? waitShareOfNonIdempotent : waitShareOfIdempotent;
    const Duration most = mayWaitLong ? maxWaitOfNonIdempotent : maxWaitOfIdempotent;
    const Duration left = *requests.deadline - now;
    requests.waitId = ++m_lastWaitId;
    m_waiting[m_lastWaitId] = connection;
    connection->stream->pauseReading();
    const Instant until = now + std::min(fromSeconds(toSeconds(left) * share), most);
    const std::uint64_t displaced = m_queue.add({ m_lastWaitId, worthOf(route), bytes, until });
    if (displaced != 0)
        m_displaced.push_back(displaced);
    return Verdict::Wait;
}

const RouteConfig* CallerRequestMemory::routeOf(const RequestHead& head) const
{
    return m_state.config
        ? m_state.config->findRoute(head.fields.find("Host").value_or(""), pathOf(head.target))
        : nullptr;
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
    requests = {};
    requests.inShort = left;
}

void CallerRequestMemory::checkProgress(CallerConnection& connection, Instant now)
{
    CallerRequestBytes& requests = connection.requests;
    const Duration elapsed = now - requests.admittedAt;
    if (!requests.reservation || requests.isBehind || requests.waitId != 0 || elapsed < stallTime)
        return;
    const auto announced = static_cast<double>(connection.parser->announcedBodyBytes().value_or(0));
    const bool isStalled = now - connection.lastReceivedAt >= stallTime;
    const bool isLate = requests.deadline
        && static_cast<double>(requests.inLong) * toSeconds(*requests.deadline - requests.admittedAt)
            < announced * toSeconds(elapsed);
    if (!isStalled && !isLate)
        return;
    requests.isBehind = true;
    requests.reservation->resize(requests.inLong);
}

bool CallerRequestMemory::isOverdue(const CallerConnection& connection, Instant now)
{
    const CallerRequestBytes& requests = connection.requests;
    return requests.deadline && now > *requests.deadline;
}

std::vector<CallerConnectionPtr> CallerRequestMemory::admitWaiting(Instant now)
{
    return removeWaiting(m_queue.admit([this, now](const LongRequest& request) {
        return take(*m_waiting.at(request.id), request.bytes, now);
    }));
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
