// One node: the entry and the hop service of a sidecar, unchanged, on the virtual clock beside an emulated
// upstream.
#pragma once

#include "lab/SimplePlatformAdapter.h"
#include "lab/SimulatedUpstream.h"
#include "transport/EntryService.h"
#include "transport/HopService.h"
#include "transport/NodeTransport.h"
#include "transport/TokenServer.h"

namespace Ebonystack {

class SimulatedFleet;

/// Where a node stands.
struct NodeSpec {
    UpstreamRecord record;
    double speed { 1 };

    auto operator<=>(const NodeSpec&) const = default;
};

/// Parts of the product that a run goes without, to show what they do.
struct SimulationOptions {
    bool withoutAdmission { false }; ///< entries refuse nothing for the sake of worth
    bool withoutGate { false }; ///< upstreams get all requests at once

    auto operator<=>(const SimulationOptions&) const = default;
};

class SimulatedNode : public NodeTransport {
public:
    /// The fleet outlives the node.
    SimulatedNode(SimulatedFleet&, NodeSpec, std::uint64_t seed);

    const NodeSpec& spec() const { return m_spec; }
    SidecarState& state() { return m_state; }
    EntryService& entry() { return m_entry; }
    HopService& hop() { return m_hop; }
    SimulatedUpstream& upstream() { return *m_upstream; }
    const HopOrigin& origin() const { return m_origin; }

    /// Takes over what the directory says since it has changed.
    void onDirectoryChange();
    /// What a sidecar's loop does by time. Call it every 10 ms.
    void tick();

    bool canReach(const VmId&) const override;
    bool sendRequest(const VmId&, HopRequest) override;
    void sendCancel(const VmId&, std::uint64_t number) override;
    void sendResume(const VmId&, const std::vector<std::uint64_t>&) override { } // links here carry on
    bool requestTokens(const VmId& owner, const TokenRequest&) override;

private:
    std::function<void()> makeNestedCall(
        const RouteId&, Duration remainingTime, std::function<void(std::uint16_t)> done);

    SimulatedFleet& m_fleet;
    const NodeSpec m_spec;
    const HopOrigin m_origin;
    SimplePlatformAdapter m_adapter;
    SidecarState m_state;
    std::shared_ptr<SimulatedUpstream> m_upstream;
    HopService m_hop;
    EntryService m_entry;
    TokenServer m_tokenServer;
    std::uint64_t m_calls { 0 };
};

} // namespace Ebonystack
