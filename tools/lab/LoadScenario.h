// The data of a load scenario: a deployment, the load on it over time, the faults, and the expected measures.
// ScenarioParser reads it from a scenario file; docs/SCENARIOS.md describes the language.
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
    std::vector<double> speeds { 1 }; ///< assigned to the VMs in turn; speed 2 halves the time for work

    auto operator<=>(const ScenarioService&) const = default;
};

struct ScenarioCall {
    RouteId callee;
    int times { 1 }; ///< sequential calls

    auto operator<=>(const ScenarioCall&) const = default;
};

/// A kind of request. Only upstreams send requests of kinds with a rate of 0, as nested calls.
struct RequestKind {
    RouteId name;
    ServiceName service;
    double requestsPerSecond { 0 }; ///< of all callers, at a load factor of 1
    Duration work { std::chrono::milliseconds(50) }; ///< mean, at a speed of 1, without nested calls
    double spread { 0.3 }; ///< standard deviation of the work, relative to its mean
    Duration targetLatency { std::chrono::seconds(1) }; ///< a response within this time earns the full worth
    Duration deadline { std::chrono::seconds(3) }; ///< of the caller, over all its attempts
    Duration timeout { 0 }; ///< the route's timeout, for each attempt of the caller; zero: no limit
    double worth { 1 }; ///< of a response within the target latency
    double lateWorth { 0.3 }; ///< share of `worth` for a response between target latency and deadline
    int priority { 0 };
    int retries { 0 }; ///< attempts of the caller after a response that says "not run"
    bool idempotent { true };
    std::vector<ScenarioCall> calls;

    auto operator<=>(const RequestKind&) const = default;
};

struct ScenarioTeams {
    int count { 1 };
    double planFactor { 1.6 }; ///< a team's plan, relative to its usual rate at the highest load factor

    auto operator<=>(const ScenarioTeams&) const = default;
};

/// Constant load from the end of the previous phase until `until`, counted from the beginning of the traffic.
struct LoadPhase {
    double factor { 1 }; ///< of the rates of all kinds
    Duration until { 0 };

    auto operator<=>(const LoadPhase&) const = default;
};

enum class ScenarioFaultKind : std::uint8_t {
    Slow, ///< work at upstreams of a service takes `factor` times as long
    LoseAnswers, ///< upstreams of a service run requests and lose the share `factor` of the responses
    Reject, ///< upstreams of a service reject the share `factor` of the requests without running them
    NameLimit, ///< upstreams of a service name a limit of `factor` requests per second in their responses
    NameLeaving, ///< upstreams of a service say in their responses that they are leaving
    Lose, ///< VMs of a service end without notice; at `until` new VMs replace them
    Drain, ///< VMs of a service drain and end; at `until` new VMs replace them
    HotTeam, ///< the first team sends `factor` times its usual rate
};

struct ScenarioFault {
    ScenarioFaultKind kind { ScenarioFaultKind::Slow };
    ServiceName service;
    double share { 1 }; ///< of the service's VMs, rounded up to at least one VM
    double factor { 1 };
    Duration from { 0 }; ///< since the beginning of the traffic
    std::optional<Duration> until; ///< likewise; without it the fault lasts until the end of the run

    auto operator<=>(const ScenarioFault&) const = default;
};

/// A bound on one measure of the result, named as in SimulationResult::measures.
struct ScenarioExpectation {
    std::string measure;
    bool atLeast { true }; ///< false: `bound` is the maximum
    double bound { 0 }; ///< seconds where the scenario states a time

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
    /// Returns the load factor at a time since the beginning of the traffic; after the last phase, that of
    /// the last phase.
    double loadAt(Duration) const;
    /// Returns the end of the last phase.
    Duration length() const;
};

} // namespace Ebonystack
