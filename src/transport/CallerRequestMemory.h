// The memory of callers' requests while they are read. A long request is read once there is memory for all of
// it, and waits for that unread; short ones share a part of the memory. What a body takes goes on with it.
#pragma once

#include "coordination/LongRequestQueue.h"
#include "transport/CallerConnection.h"
#include "transport/SidecarState.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class CallerRequestMemory {
public:
    enum class Verdict {
        Read,
        Wait, ///< the connection is not read until `admitWaiting` or `expireWaiting` returns it
        Refuse,
        RefuseSlowest, ///< to free `shortBytesLacking`
    };

    /// The state outlives the object.
    explicit CallerRequestMemory(SidecarState&);

    void addReceived(CallerConnection&, std::size_t bytes);
    /// Whether to go on reading the request of a connection, which is incomplete.
    Verdict check(const CallerConnectionPtr&, Instant now);
    /// Whether short requests have used up their part.
    bool isShortPartFull() const { return m_short.bytes() > m_maxShortBytes; }
    /// What short requests hold beyond the memory for them.
    std::size_t shortBytesLacking() const;
    /// What has to be freed for the first of the requests that wait.
    std::size_t longBytesLacking() const;
    /// Passes the memory of a complete request on to its body. `left` bytes of the next requests stay.
    void passOn(CallerConnection&, const Body&, std::size_t left);
    /// Frees the memory of the connection's requests but for `left` bytes of the next ones.
    void release(CallerConnection&, std::size_t left);
    /// From then on a request that arrives too slowly for its deadline, or not at all, has memory only for
    /// what has arrived.
    void checkProgress(CallerConnection&, Instant now);
    /// Whether the deadline of the request that is being read has passed.
    static bool isOverdue(const CallerConnection&, Instant now);

    bool hasWaiting() const { return !m_queue.empty(); }
    /// Returns the connections that may be read now.
    std::vector<CallerConnectionPtr> admitWaiting(Instant now);
    /// Returns the connections whose requests are to be refused.
    std::vector<CallerConnectionPtr> expireWaiting(Instant now);

private:
    void setDeadline(CallerConnection&) const;
    static std::size_t bytesNeeded(const CallerConnection&);
    bool take(CallerConnection&, std::size_t bytes, Instant now);
    Verdict wait(const CallerConnectionPtr&, const RouteConfig*, std::size_t bytes, Instant now);
    const RouteConfig* routeOf(const RequestHead&) const;
    void setShort(CallerConnection&, std::size_t bytes);
    std::vector<CallerConnectionPtr> removeWaiting(const std::vector<std::uint64_t>& ids);

    SidecarState& m_state;
    const std::size_t m_maxShortBytes;
    MemoryBudget::Reservation m_short; // the sum of inShort over all connections
    LongRequestQueue m_queue;
    std::unordered_map<std::uint64_t, CallerConnectionPtr> m_waiting; // by waitId; the keys are those queued
    std::vector<std::uint64_t> m_displaced; // by more worthy requests; returned by the next expireWaiting
    std::uint64_t m_lastWaitId { 0 };
};

} // namespace Ebonystack
