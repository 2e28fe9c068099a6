// A model of one upstream: slots, a bounded queue in front of them, work that takes longer on slow and cold
// VMs, and nested calls of other services, which hold the slot too.
#pragma once

#include "lab/LoadScenario.h"
#include "lab/RetryUse.h"
#include "lab/SimulationClock.h"
#include "state/RandomSource.h"
#include "transport/UpstreamTransport.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Ebonystack {

/// Totals over the upstreams of one service.
struct UpstreamCounters {
    std::uint64_t arrivals { 0 };
    std::uint64_t shed { 0 }; ///< rejected because the queue was full
    double slotSeconds { 0 }; ///< for which ended executions held slots
    double wastedSlotSeconds { 0 }; ///< of executions that were aborted or failed
    /// Most arrivals within `limitWindow` at an upstream that names a limit, relative to what is tolerated.
    double maxLimitUse { 0 };
    std::uint64_t lateArrivals { 0 }; ///< at upstreams that have said for `drainTime` that they are leaving

    auto operator<=>(const UpstreamCounters&) const = default;
};

class SimulatedUpstream : public UpstreamTransport, public std::enable_shared_from_this<SimulatedUpstream> {
public:
    /// Sends a nested call to another service; returns a function that cancels the call. `ofRepeat`: the run
    /// that makes the call is a repeat.
    using MakeNestedCall = std::function<std::function<void()>(const RouteId&, bool ofRepeat,
        Duration remainingTime, std::function<void(std::uint16_t status)> done)>;

    /// All references must outlive the upstream.
    SimulatedUpstream(SimulationClock&, const LoadScenario&, std::uint32_t slots, double speed,
        std::uint64_t seed, UpstreamCounters&, RetryUse&, MakeNestedCall makeNestedCall);

    ExchangeId send(UpstreamRequest, Callback done) override;
    void abort(ExchangeId) override;

    /// Makes work that starts from now on take `factor` times as long.
    void setSlowdown(double factor) { m_slowdown = factor; }
    /// Sets the share of the responses of ended runs that are lost with their connection.
    void setLostShare(double share) { m_lostShare = share; }
    /// Sets the share of the requests that are rejected without being run.
    void setRejectedShare(double share) { m_rejectedShare = share; }
    /// Names a limit in all responses from now on, in requests per second; 0 names none.
    void setNamedLimit(double requestsPerSecond);
    /// Says in all responses from now on that the upstream is leaving; 0 ends that.
    void setLeaving(double leaving);
    /// Makes work slower for `coldDuration` from now, as after a start of the upstream.
    void startCold() { m_coldUntil = m_clock.now() + coldDuration; }

    static constexpr Duration coldDuration = std::chrono::seconds(3);
    /// Time after the first response with a limit from which it has to be kept.
    static constexpr Duration limitGrace = std::chrono::seconds(3);
    static constexpr Duration limitWindow = std::chrono::seconds(4);
    static constexpr Duration drainTime = std::chrono::seconds(2);

private:
    struct Execution {
        ExchangeId exchange;
        const RequestKind* kind;
        std::string id;
        Callback done;
        Instant deadline;
        Instant startedAt;
        std::size_t callIndex { 0 }; // index into the kind's calls
        int callsMade { 0 }; // of the call at callIndex
        std::function<void()> cancelCall;
        bool isRepeat { false };
        bool started { false };
        bool ended { false };
    };
    using ExecutionPtr = std::shared_ptr<Execution>;

    void countLimitedArrival();
    void addNotice(HttpFields&);
    void start(const ExecutionPtr&);
    void reject(const ExecutionPtr&);
    bool occurs(double share) { return share > 0 && m_random.uniform() < share; }
    void startNextCall(const ExecutionPtr&);
    void finish(const ExecutionPtr&, std::uint16_t status);
    void respond(const ExecutionPtr&, std::uint16_t status, bool notRun);
    void release(const ExecutionPtr&, bool wasted);
    Duration sampleWork(const RequestKind&);

    SimulationClock& m_clock;
    const LoadScenario& m_scenario;
    const std::uint32_t m_slots;
    const double m_speed;
    RandomSource m_random;
    UpstreamCounters& m_counters;
    RetryUse& m_retryUse;
    MakeNestedCall m_makeNestedCall;
    double m_slowdown { 1 };
    double m_lostShare { 0 };
    double m_rejectedShare { 0 };
    double m_namedLimit { 0 };
    bool m_leaving { false };
    std::optional<Instant> m_limitNamedAt; // the first response with the limit
    std::optional<Instant> m_leavingNamedAt;
    std::deque<Instant> m_limitedArrivals; // within the last limitWindow
    Instant m_coldUntil;
    std::unordered_map<ExchangeId, ExecutionPtr> m_executions; // running, queued or being rejected
    std::deque<ExecutionPtr> m_waiting;
    std::uint32_t m_running { 0 };
    ExchangeId m_nextExchange { 1 };
};

} // namespace Ebonystack
