// A simulated node: the EntryService, HopService and TokenServer of a sidecar, unchanged, on the virtual
// clock with a simulated upstream.
#pragma once

#include "lab/SimplePlatformAdapter.h"
#include "lab/SimulatedUpstream.h"
#include "transport/EntryService.h"
#include "transport/HopService.h"
#include "transport/NodeTransport.h"
#include "transport/TokenServer.h"

namespace Ebonystack {

class SimulatedFleet;

/// A node's upstream record and the speed of its upstream.
struct NodeSpec {
    UpstreamRecord record;
    double speed { 1 };

    auto operator<=>(const NodeSpec&) const = default;
};

/// Parts of the product that are switched off in a run, to show their effect.
struct SimulationOptions {
    bool withoutAdmission { false }; ///< entry nodes shed no requests by worth
    bool withoutGate { false }; ///< requests reach upstreams without queueing at the gate

    auto operator<=>(const SimulationOptions&) const = default;
};

class SimulatedNode : public NodeTransport {
public:
    /// The fleet must outlive the node.
    SimulatedNode(SimulatedFleet&, NodeSpec, std::uint64_t seed);

    const NodeSpec& spec() const { return m_spec; }
    SidecarState& state() { return m_state; }
    EntryService& entry() { return m_entry; }
    HopService& hop() { return m_hop; }
    SimulatedUpstream& upstream() { return *m_upstream; }
    const HopOrigin& origin() const { return m_origin; }

    /// Applies the changed directory to the hop service.
    void onDirectoryChange();
    /// Runs the timers that are due, like a sidecar's event loop. Called every 10 ms.
    void tick();

    bool canReach(const VmId&) const override;
    bool sendRequest(const VmId&, HopRequest) override;
    void sendCancel(const VmId&, std::uint64_t number) override;
    std::optional<std::uint64_t> processAt(const VmId&) const override;
    /// Does nothing, since simulated links never reconnect.
    void sendResume(const VmId&, const HopResume&) override { }
    bool requestTokens(const VmId& owner, const TokenRequest&) override;

private:
    std::function<void()> makeNestedCall(
        const RouteId&, bool ofRepeat, Duration remainingTime, std::function<void(std::uint16_t)> done);

    SimulatedFleet& m_fleet;
    const NodeSpec m_spec;
    const HopOrigin m_origin;
    SimplePlatformAdapter m_adapter;
    SidecarState m_state;
    std::shared_ptr<SimulatedUpstream> m_upstream;
    HopService m_hop;
    EntryService m_entry;
    TokenServer m_tokenServer;
    std::uint64_t m_nestedCallCount { 0 };
};

} // namespace Ebonystack
