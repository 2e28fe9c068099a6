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
    };

    /// The state outlives the object.
    explicit CallerRequestMemory(SidecarState&);

    void addReceived(CallerConnection&, std::size_t bytes);
    /// Whether to go on reading the request of a connection, which is incomplete.
    Verdict check(const CallerConnectionPtr&, Instant now);
    /// Whether short requests have used up their part.
    bool isShortPartFull() const { return m_short.bytes() > m_maxShortBytes; }
    /// Passes the memory of a complete request on to its body. `left` bytes of the next requests stay.
    void passOn(CallerConnection&, const Body&, std::size_t left);
    /// Frees the memory of the connection's requests but for `left` bytes of the next ones.
    void release(CallerConnection&, std::size_t left);
    /// Frees what is reserved for a request that has stopped arriving, but for what it has.
    void checkStalled(CallerConnection&, Instant now);

    bool hasWaiting() const { return !m_queue.empty(); }
    /// Returns the connections that may be read now.
    std::vector<CallerConnectionPtr> admitWaiting();
    /// Returns the connections whose requests are to be refused.
    std::vector<CallerConnectionPtr> expireWaiting(Instant now);

private:
    std::size_t bytesNeeded(const CallerConnection&) const;
    bool take(CallerConnection&, std::size_t bytes);
    Verdict wait(const CallerConnectionPtr&, std::size_t bytes, Instant now);
    int worthOf(const RequestHead&) const;
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
