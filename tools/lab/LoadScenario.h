// A deployment, the load on it over time, what goes wrong, and what is expected of the result. Plain values,
// read from a scenario file by ScenarioParser; docs/SCENARIOS.md describes the language.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack {

struct ScenarioService {
    ServiceName name;
    int vms { 1 };
    std::uint32_t slots { 1 }; ///< of each VM's upstream
    std::vector<double> speeds { 1 }; ///< relative to the work stated; dealt out to the VMs in turn

    auto operator<=>(const ScenarioService&) const = default;
};

struct ScenarioCall {
    RouteId callee;
    int times { 1 }; ///< one after the other

    auto operator<=>(const ScenarioCall&) const = default;
};

/// A kind of request. Kinds without a rate are made by upstreams only.
struct RequestKind {
    RouteId name;
    ServiceName service;
    double perSecond { 0 }; ///< at a load of 1, over all callers
    Duration work { std::chrono::milliseconds(50) }; ///< mean, at a speed of 1, without its calls
    double spread { 0.3 }; ///< standard deviation of the work, relative to its mean
    Duration targetLatency { std::chrono::seconds(1) }; ///< answered within this time it has its full worth
    Duration deadline { std::chrono::seconds(3) }; ///< the caller waits no longer, all tries together
    Duration timeout { 0 }; ///< of one try; zero: none
    double worth { 1 };
    double lateWorth { 0.3 }; ///< between the aim and the deadline
    int priority { 0 };
    int retries { 0 }; ///< tries of the caller after a refusal that says "not run"
    bool idempotent { true };
    std::vector<ScenarioCall> calls;

    auto operator<=>(const RequestKind&) const = default;
};

struct ScenarioTeams {
    int count { 1 };
    double planFactor { 1.6 }; ///< a team's plan, relative to its usual rate

    auto operator<=>(const ScenarioTeams&) const = default;
};

/// The load has this factor until a moment, from the end of the phase before.
struct LoadPhase {
    double factor { 1 };
    Duration until { 0 };

    auto operator<=>(const LoadPhase&) const = default;
};

enum class ScenarioFaultKind : std::uint8_t {
    Slow, ///< upstreams of a service take `factor` times as long
    Lose, ///< VMs of a service end without notice; at `until` new ones take their places
    Drain, ///< VMs of a service leave in order; at `until` new ones take their places
    HotTeam, ///< the first team sends `factor` times its usual rate
};

struct ScenarioFault {
    ScenarioFaultKind kind { ScenarioFaultKind::Slow };
    ServiceName service;
    double share { 1 }; ///< of the service's VMs; at least one is meant
    double factor { 1 };
    Duration from { 0 };
    std::optional<Duration> until;

    auto operator<=>(const ScenarioFault&) const = default;
};

/// Bound on one measure of the result, by its name in SimulationResult::measures.
struct ScenarioExpectation {
    std::string measure;
    bool atLeast { true }; ///< otherwise at most
    double bound { 0 };

    auto operator<=>(const ScenarioExpectation&) const = default;
};

struct LoadScenario {
    int dataCentres { 1 };
    Duration delay { std::chrono::milliseconds(1) }; ///< one way, between data centres
    std::vector<ScenarioService> services;
    std::vector<RequestKind> kinds;
    ScenarioTeams teams;
    std::vector<LoadPhase> phases;
    std::vector<ScenarioFault> faults;
    std::vector<ScenarioExpectation> expectations;

    auto operator<=>(const LoadScenario&) const = default;

    const RequestKind* findKind(const RouteId&) const;
    const ScenarioService* findService(const ServiceName&) const;
    /// The factor at a moment; the last phase's when all have ended.
    double loadAt(Duration) const;
    /// The end of the last phase.
    Duration length() const;
};

} // namespace Ebonystack
