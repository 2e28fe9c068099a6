// A model of one upstream: slots, a short queue beyond them, work that takes longer on slow and cold VMs, and
// calls of other services while the slot is held.
#pragma once

#include "lab/LoadScenario.h"
#include "lab/SimulationClock.h"
#include "state/RandomSource.h"
#include "transport/UpstreamTransport.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace Ebonystack {

/// What an upstream did.
struct UpstreamCounters {
    std::uint64_t arrivals { 0 };
    std::uint64_t shed { 0 };
    double slotSeconds { 0 };
    double wastedSlotSeconds { 0 }; ///< in runs that gave no sound answer

    auto operator<=>(const UpstreamCounters&) const = default;
};

class SimulatedUpstream : public UpstreamTransport, public std::enable_shared_from_this<SimulatedUpstream> {
public:
    /// Makes a call of another service; returns a function that cancels it.
    using MakeNestedCall = std::function<std::function<void()>(
        const RouteId&, Duration remainingTime, std::function<void(std::uint16_t status)> done)>;

    /// All references outlive the upstream.
    SimulatedUpstream(SimulationClock&, const LoadScenario&, std::uint32_t slots, double speed,
        std::uint64_t seed, UpstreamCounters&, MakeNestedCall makeNestedCall);

    ExchangeId send(UpstreamRequest, Done done) override;
    void abort(ExchangeId) override;

    /// Work takes `factor` times as long from now on.
    void setSlowness(double factor) { m_slowness = factor; }
    /// It starts now, and is slow at first.
    void startCold() { m_coldUntil = m_clock.now() + coldTime; }

    static constexpr Duration coldTime = std::chrono::seconds(3);

private:
    struct Execution {
        ExchangeId exchange;
        const RequestKind* kind;
        std::string id;
        Done done;
        Instant deadline;
        Instant startedAt;
        std::size_t call { 0 }; // index into the kind's calls
        int callsMade { 0 }; // of that call
        std::function<void()> cancelCall;
        bool started { false };
        bool ended { false };
    };
    using ExecutionPtr = std::shared_ptr<Execution>;

    void start(const ExecutionPtr&);
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
    MakeNestedCall m_makeNestedCall;
    double m_slowness { 1 };
    Instant m_coldUntil;
    std::unordered_map<ExchangeId, ExecutionPtr> m_executions; // that run or wait
    std::deque<ExecutionPtr> m_waiting;
    std::uint32_t m_running { 0 };
    ExchangeId m_nextExchange { 1 };
};

} // namespace Ebonystack
