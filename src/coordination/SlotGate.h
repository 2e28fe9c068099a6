// Admission to the upstream beside this node. It keeps the number of running requests at what the upstream
// runs at the same time, so that the upstream never sheds, and lets the rest wait for as long as they can
// still be answered in time. Ranks put requests back by a bounded time only, so that a stream of low ranks
// does not starve the others. Answers the load in which requests come faster than the upstream's slots free
// up.
#pragma once

#include "state/UpstreamLoad.h"

#include <compare>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Ebonystack {

/// Identifies a request at the gate.
using GateTicket = std::uint64_t;

struct GateRequest {
    GateTicket ticket { 0 };
    int rank { 0 }; ///< lower ranks go before higher ones that came up to some milliseconds earlier
    Instant latestStart; ///< started later, it would be answered too late

    auto operator<=>(const GateRequest&) const = default;
};

enum class GateDecision : std::uint8_t {
    Run,
    Queued, ///< `depart` or `setSlots` starts it, or `expire` gives it up
    Refused, ///< it would start too late
};

/// Not thread-safe. Every ticket that runs must `depart`.
class SlotGate {
public:
    /// The upstream runs `slots` requests at the same time. Returns the tickets that start by that.
    std::vector<GateTicket> setSlots(std::uint32_t slots, Instant now);

    /// `expectedWait` is compared with the request's latest start.
    GateDecision arrive(const GateRequest&, Instant now);
    /// A running request has ended after `serviceTime`. Returns the tickets that start.
    std::vector<GateTicket> depart(Duration serviceTime, Instant now);
    /// Takes a waiting request out; false when it is not waiting.
    bool withdraw(GateTicket);
    /// Gives up the requests whose latest start has passed and returns their tickets.
    std::vector<GateTicket> expire(Instant now);

    /// How long a request of `rank` that came now would wait.
    Duration expectedWait(int rank, Instant now) const;
    /// The mean time for which a request holds a slot.
    Duration meanServiceTime() const { return m_meanServiceTime; }
    GateState state() const;

private:
    struct QueuePosition {
        Instant effectiveArrival; // the arrival, put back by the rank
        std::uint64_t arrival;
        auto operator<=>(const QueuePosition&) const = default;
    };

    std::vector<GateTicket> startWaiting(Instant now);

    std::uint32_t m_limit { 16 };
    std::uint32_t m_running { 0 };
    std::uint64_t m_arrivals { 0 };
    Duration m_meanServiceTime { std::chrono::milliseconds(50) };
    // The two hold the same tickets.
    std::map<QueuePosition, GateRequest> m_waiting;
    std::unordered_map<GateTicket, QueuePosition> m_positions;
};

} // namespace Ebonystack
