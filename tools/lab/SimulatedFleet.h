// All nodes of a run: what they know of each other, how long messages take, and the faults of the scenario.
#pragma once

#include "lab/SimulatedNode.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace Ebonystack {

class SimulatedFleet {
public:
    /// The scenario outlives the fleet.
    SimulatedFleet(const LoadScenario&, SimulationOptions, std::uint64_t seed);

    SimulationClock& clock() { return m_clock; }
    boost::asio::io_context& io() { return m_io; }
    const LoadScenario& scenario() const { return m_scenario; }
    const SimulationOptions& options() const { return m_options; }
    std::shared_ptr<const ServingIndex> config() const { return m_config; }
    UpstreamCounters& counters(const ServiceName& service) { return m_counters[service]; }
    const std::map<ServiceName, UpstreamCounters>& allCounters() const { return m_counters; }

    bool isUp(const VmId& vm) const { return m_nodes.contains(vm); }
    /// Runs `callback` at a node after the time that a message takes, if the node still lives.
    void deliver(const VmId& from, const VmId& to, std::function<void(SimulatedNode&)> callback);
    /// A request of a kind as a caller sends it, without an id and a key.
    HttpRequest makeRequest(const RouteId&, Duration remainingTime) const;
    /// A node of a data centre that takes callers; null when there is none.
    SimulatedNode* pick(const DataCentre&, RandomSource&);
    SimulatedNode* find(const VmId&);
    /// Called for each VM that ends without notice.
    void onVmLost(std::function<void(const VmId&)> callback) { m_onVmLost = std::move(callback); }
    /// The requests that were open at nodes that left in order.
    std::uint64_t requestsCutByDrain() const { return m_requestsCutByDrain; }

    /// Schedules the scenario's faults, counted from now.
    void scheduleFaults();

private:
    void startNode(const ScenarioService&, int index, bool cold);
    void publish(const UpstreamRecord&);
    void withdraw(const InstanceId&);
    void exchangeHeartbeats();
    std::vector<VmId> selectVms(const ScenarioFault&) const;
    void beginFault(const ScenarioFault&);
    void lose(const VmId&);
    void drain(const VmId&);
    void replace(const ServiceName&, std::size_t count);

    const LoadScenario& m_scenario;
    const SimulationOptions m_options;
    RandomSource m_random;
    boost::asio::io_context m_io; // never run: nothing here has sockets
    SimulationClock m_clock;
    std::shared_ptr<const ServingIndex> m_config;
    std::map<ServiceName, UpstreamCounters> m_counters;
    std::map<VmId, std::unique_ptr<SimulatedNode>> m_nodes;
    // Kept for the callbacks that still refer to them.
    std::vector<std::unique_ptr<SimulatedNode>> m_stoppedNodes;
    std::map<InstanceId, UpstreamRecord> m_published;
    std::map<VmId, bool> m_draining;
    std::function<void(const VmId&)> m_onVmLost;
    std::uint64_t m_revision { 0 };
    std::uint64_t m_requestsCutByDrain { 0 };
    int m_nodesStarted { 0 };
};

/// The team that faults make hot.
constexpr int hotTeam = 0;
/// The host of all kinds in a run.
extern const std::string simulationHost;
/// The key of a team, by its index.
std::string teamApiKey(int team);
/// The team's share of the usual load: a few teams are large.
double teamLoadShare(const ScenarioTeams&, int team);

} // namespace Ebonystack
