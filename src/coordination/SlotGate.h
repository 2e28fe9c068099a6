// A concurrency limiter with a queue in front of the upstream beside this node. Limits the running requests
// to what the upstream can run at the same time, so that the upstream never has to shed load itself, and
// queues the others for as long as they can still finish in time. It also spaces requests for an upstream
// that names a limit on its rate. The rank of a request delays it by a bounded time only, so that a stream of
// low ranks does not starve the others. The gate handles load in which requests arrive faster than the
// upstream frees slots.
#pragma once

#include "coordination/RequestPacer.h"
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
    int rank { 0 }; ///< lower ranks start before higher ones that arrived up to some milliseconds earlier
    Instant latestStart; ///< a request that starts later can't finish in time

    auto operator<=>(const GateRequest&) const = default;
};

enum class GateDecision : std::uint8_t {
    Run,
    Queued, ///< `depart` or `setSlots` starts the request, or `expire` removes it
    Refused, ///< the request would start too late
};

/// Not thread-safe. The caller must call `depart` for every ticket that runs.
class SlotGate {
public:
    /// Sets how many requests the upstream can run at the same time. Returns the tickets that start now.
    std::vector<GateTicket> setSlots(std::uint32_t slots, Instant now);

    /// Sets how many requests may start in a second; nothing ends the limit. Returns the tickets that start
    /// now.
    std::vector<GateTicket> setRequestLimit(std::optional<double> requestsPerSecond, Instant now);
    /// Returns the queued tickets that start now because of the time that has passed.
    std::vector<GateTicket> startDue(Instant now) { return startWaiting(now); }
    /// Counts another start of a running request against the request limit; false when that is used up.
    bool startAgain(Instant now);

    /// Refuses the request if it would start after its latest start, by `expectedWait`.
    GateDecision arrive(const GateRequest&, Instant now);
    /// Called when a running request has ended after `serviceTime`. Returns the tickets that start now.
    std::vector<GateTicket> depart(Duration serviceTime, Instant now);
    /// Removes a request from the queue. Returns false when it is not queued.
    bool withdraw(GateTicket);
    /// Removes the requests whose latest start has passed from the queue and returns their tickets.
    std::vector<GateTicket> expire(Instant now);

    /// How long a request of `rank` that arrives now would be queued.
    Duration expectedWait(int rank, Instant now) const;
    /// The mean time for which a request occupies a slot, as an exponential moving average.
    Duration meanServiceTime() const { return m_meanServiceTime; }
    GateState state() const;

private:
    struct QueuePosition {
        Instant effectiveArrival; // time of arrival plus the delay for the rank
        std::uint64_t sequence; // orders requests of the same effective arrival
        auto operator<=>(const QueuePosition&) const = default;
    };

    bool mayStart(Instant now) const { return m_running < m_limit && m_pacer.mayStart(now); }
    void recordStart(Instant now);
    std::vector<GateTicket> startWaiting(Instant now);

    std::uint32_t m_limit { 16 };
    std::uint32_t m_running { 0 };
    RequestPacer m_pacer;
    std::uint64_t m_lastSequence { 0 };
    Duration m_meanServiceTime { std::chrono::milliseconds(50) };
    // The two maps contain the same tickets.
    std::map<QueuePosition, GateRequest> m_waiting;
    std::unordered_map<GateTicket, QueuePosition> m_positions;
};

} // namespace Ebonystack
