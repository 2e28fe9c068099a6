// The callers of a run: they send requests at random moments, return after refusals as they are advised, and
// give up at their deadline.
#pragma once

#include "lab/SimulatedFleet.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Ebonystack {

enum class CallerResult : std::uint8_t {
    Served,
    Refused, ///< the last answer said "not run"
    RefusedByPlan, ///< likewise, for want of a token
    Failed, ///< any other answer, or none because the node has ended
    TimedOut, ///< no answer by the deadline
};

/// How one request ended, all its tries together.
struct CallerOutcome {
    const RequestKind* kind { nullptr };
    int team { 0 };
    Duration sentAt { 0 }; ///< from the beginning of the traffic
    Duration elapsed { 0 };
    CallerResult result { CallerResult::Failed };

    /// What the answer is worth.
    double earnedWorth() const;
};

class SimulatedCallers {
public:
    /// The fleet outlives the callers.
    SimulatedCallers(SimulatedFleet&, std::uint64_t seed);

    /// Sends until `length` from now.
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
        VmId node; // empty while no try is under way
        CallId call { 0 };
    };
    using RequestPtr = std::shared_ptr<Request>;

    void scheduleNext();
    void send();
    void sendAttempt(const RequestPtr&);
    void onResponse(const RequestPtr&, int attempt, const HttpResponse&);
    void onVmLost(const VmId&);
    void timeOut(const RequestPtr&);
    void finish(const RequestPtr&, CallerResult);
    /// The rate of each kind and team now, and their sum.
    double rateOf(const RequestKind&, int team) const;

    SimulatedFleet& m_fleet;
    const LoadScenario& m_scenario;
    RandomSource m_random;
    std::vector<double> m_teamShares; // of the usual load
    Instant m_startedAt;
    Duration m_length { 0 };
    std::uint64_t m_nextId { 1 };
    std::unordered_map<std::uint64_t, RequestPtr> m_open;
    std::vector<CallerOutcome> m_outcomes;
};

} // namespace Ebonystack
