// The callers of a simulation run. They send requests at random times, retry rejected requests after the
// Retry-After time, and cancel requests at their deadline.
#pragma once

#include "lab/SimulatedFleet.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Ebonystack {

/// The result of a request for its caller.
enum class CallerResult : std::uint8_t {
    Served,
    Refused, ///< the last response said "not run"
    RefusedByPlan, ///< likewise, because the team's plan had no token
    Failed, ///< any other response, or none because the node's VM was lost
    TimedOut, ///< no final response by the deadline
};

/// The outcome of one request, over all its attempts.
struct CallerOutcome {
    const RequestKind* kind { nullptr };
    int team { 0 };
    Duration sentAt { 0 }; ///< since the beginning of the traffic
    Duration elapsed { 0 }; ///< until the result, over all attempts
    CallerResult result { CallerResult::Failed };

    /// The worth of the response: full within the target latency, reduced after it, 0 unless served.
    double earnedWorth() const;
};

class SimulatedCallers {
public:
    /// The fleet must outlive the callers.
    SimulatedCallers(SimulatedFleet&, std::uint64_t seed);

    /// Sends requests from now on for `length`.
    void startTraffic(Duration length);
    const std::vector<CallerOutcome>& outcomes() const { return m_outcomes; }

private:
    struct Request {
        std::uint64_t id;
        const RequestKind* kind;
        int team;
        DataCentre dataCentre;
        Instant sentAt;
        Instant deadline;
        int attemptsLeft;
        int attemptsMade { 0 };
        VmId node; // empty while no attempt is in progress
        CallId call { 0 }; // 0 until the node has received the attempt
    };
    using RequestPtr = std::shared_ptr<Request>;

    void scheduleNextRequest();
    void send();
    void sendAttempt(const RequestPtr&);
    void onResponse(const RequestPtr&, int attempt, const HttpResponse&);
    void onVmLost(const VmId&);
    void timeOut(const RequestPtr&);
    void finish(const RequestPtr&, CallerResult);
    /// The current rate of a kind for one team, in requests per second.
    double rateOf(const RequestKind&, int team) const;

    SimulatedFleet& m_fleet;
    const LoadScenario& m_scenario;
    RandomSource m_random;
    std::vector<double> m_teamShares; // of the load; they sum to 1
    Instant m_startedAt;
    Duration m_trafficLength { 0 };
    std::uint64_t m_nextId { 1 };
    std::unordered_map<std::uint64_t, RequestPtr> m_openRequests;
    std::vector<CallerOutcome> m_outcomes;
};

} // namespace Ebonystack
