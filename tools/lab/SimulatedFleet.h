// All nodes of a simulation run: their records and heartbeats, the delay of messages between them, and the
// scenario's faults.
#pragma once

#include "lab/SimulatedNode.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace Ebonystack {

class SimulatedFleet {
public:
    /// The scenario must outlive the fleet.
    SimulatedFleet(const LoadScenario&, SimulationOptions, std::uint64_t seed);

    SimulationClock& clock() { return m_clock; }
    boost::asio::io_context& io() { return m_io; }
    const LoadScenario& scenario() const { return m_scenario; }
    const SimulationOptions& options() const { return m_options; }
    std::shared_ptr<const ServingIndex> config() const { return m_config; }
    UpstreamCounters& counters(const ServiceName& service) { return m_counters[service]; }
    const std::map<ServiceName, UpstreamCounters>& allCounters() const { return m_counters; }
    RetryUse& retryUse() { return m_retryUse; }
    /// Counts a request of a kind that a caller, or a run that is no repeat, sends now.
    void recordRequest(const RouteId& kind)
    {
        m_retryUse.recordRequest(m_scenario.findKind(kind)->service, m_clock.now());
    }

    bool isUp(const VmId& vm) const { return m_nodes.contains(vm); }
    /// Calls `callback` with node `to` after the delay of a message, unless `to` has ended or was restarted
    /// by then. Does nothing when either node has ended already.
    void deliver(const VmId& from, const VmId& to, std::function<void(SimulatedNode&)> callback);
    /// Returns a caller's request of a kind, without request id and API key.
    HttpRequest makeRequest(const RouteId&, Duration remainingTime) const;
    /// Returns a random node of a data centre, draining nodes excluded; null when there is none.
    SimulatedNode* pickEntryNode(const DataCentre&, RandomSource&);
    /// Returns the node of a VM; null when it has ended.
    SimulatedNode* find(const VmId&);
    /// Sets the function that is called for each VM that ends without notice.
    void onVmLost(std::function<void(const VmId&)> callback) { m_onVmLost = std::move(callback); }
    /// The number of requests still open at drained nodes when these ended.
    std::uint64_t requestsCutByDrain() const { return m_requestsCutByDrain; }

    /// Schedules the scenario's faults, with their times counted from now.
    void scheduleFaults();

private:
    void startNode(const ScenarioService&, int index, bool cold);
    void publish(const UpstreamRecord&);
    void withdraw(const InstanceId&);
    void exchangeHeartbeats();
    std::vector<VmId> selectVms(const ScenarioFault&) const;
    void beginFault(const ScenarioFault&);
    void loseVm(const VmId&);
    void drainVm(const VmId&);
    void startReplacements(const ServiceName&, std::size_t count);

    const LoadScenario& m_scenario;
    const SimulationOptions m_options;
    RandomSource m_random;
    boost::asio::io_context m_io; // never run: simulated nodes open no sockets
    SimulationClock m_clock;
    std::shared_ptr<const ServingIndex> m_config;
    std::map<ServiceName, UpstreamCounters> m_counters;
    RetryUse m_retryUse;
    std::map<VmId, std::unique_ptr<SimulatedNode>> m_nodes;
    // Ended nodes stay allocated, since pending callbacks still refer to them.
    std::vector<std::unique_ptr<SimulatedNode>> m_stoppedNodes;
    std::map<InstanceId, UpstreamRecord> m_publishedRecords;
    std::map<VmId, bool> m_drainingVms;
    std::function<void(const VmId&)> m_onVmLost;
    std::uint64_t m_revision { 0 };
    std::uint64_t m_requestsCutByDrain { 0 };
    int m_nodesStarted { 0 };
};

/// Index of the team whose rate a hot-team fault multiplies.
constexpr int hotTeam = 0;
/// The Host field of all requests in a run.
extern const std::string simulationHost;
/// Returns the API key of a team.
std::string teamApiKey(int team);
/// Returns a team's share of the usual load. The shares are uneven: a few teams are large.
double teamLoadShare(const ScenarioTeams&, int team);

} // namespace Ebonystack
