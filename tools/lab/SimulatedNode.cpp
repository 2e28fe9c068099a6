// Connects a node's services and timers to the fleet.
#include "lab/SimulatedNode.h"

#include "lab/SimulatedFleet.h"
#include "transport/NodePeriods.h"

namespace Ebonystack {
namespace {

SidecarSettings settingsOf(const NodeSpec& spec)
{
    SidecarSettings settings;
    settings.vm = spec.record.vm;
    settings.service = spec.record.service;
    settings.dataCentre = spec.record.dataCentre;
    settings.upstreamAddress = spec.record.address;
    return settings;
}

} // namespace

SimulatedNode::SimulatedNode(SimulatedFleet& fleet, NodeSpec spec, std::uint64_t seed)
    : m_fleet(fleet)
    , m_spec(std::move(spec))
    , m_origin { m_spec.record.vm, seed | 1 }
    , m_state(fleet.io(), settingsOf(m_spec), m_adapter, seed)
    , m_upstream(std::make_shared<SimulatedUpstream>(fleet.clock(), fleet.scenario(), m_spec.record.slots,
          m_spec.speed, seed + 1, fleet.counters(m_spec.record.service), fleet.retryUse(),
          [this](const RouteId& callee, bool ofRepeat, Duration remainingTime,
              std::function<void(std::uint16_t)> done) {
              return makeNestedCall(callee, ofRepeat, remainingTime, std::move(done));
          }))
    , m_hop(m_state, *m_upstream,
          [this](const HopOrigin& origin, HopResponse response) {
              m_fleet.deliver(m_origin.vm, origin.vm,
                  [vm = m_origin.vm, response = std::move(response)](
                      SimulatedNode& node) mutable { node.entry().onResponse(vm, std::move(response)); });
              return true;
          })
    , m_entry(m_state, *this, seed + 2)
    , m_tokenServer(m_state)
{
    m_state.clock = [&clock = fleet.clock()] { return clock.now(); };
    m_state.config = fleet.config();
    const Instant now = fleet.clock().now();
    m_state.timers.every(now, gatePeriod, [this](Instant at) { m_hop.tick(at); });
    m_state.timers.every(now, housekeepingPeriod, [this](Instant) { m_state.costs.decay(); });
    m_state.timers.every(now, admissionPeriod, [this](Instant at) {
        m_state.recordLoadReport(m_origin.vm, m_hop.load(), at);
        if (!m_fleet.options().withoutAdmission)
            m_entry.updateAdmittedShares(at);
    });
}

void SimulatedNode::onDirectoryChange() { m_hop.refreshUpstream(m_fleet.clock().now()); }

void SimulatedNode::tick() { m_state.timers.advance(m_fleet.clock().now()); }

bool SimulatedNode::canReach(const VmId& vm) const { return m_fleet.isUp(vm); }

std::optional<std::uint64_t> SimulatedNode::processAt(const VmId& vm) const
{
    return canReach(vm) ? std::optional<std::uint64_t>(1) : std::nullopt;
}

bool SimulatedNode::sendRequest(const VmId& vm, HopRequest request)
{
    m_fleet.deliver(
        m_origin.vm, vm, [origin = m_origin, request = std::move(request)](SimulatedNode& node) mutable {
            node.hop().request(origin, std::move(request));
        });
    return m_fleet.isUp(vm);
}

void SimulatedNode::sendCancel(const VmId& vm, std::uint64_t number)
{
    m_fleet.deliver(m_origin.vm, vm,
        [origin = m_origin, number](SimulatedNode& node) { node.hop().cancel(origin, number); });
}

bool SimulatedNode::requestTokens(const VmId& owner, const TokenRequest& request)
{
    m_fleet.deliver(m_origin.vm, owner, [vm = m_origin.vm, request](SimulatedNode& node) {
        const TokenResponse response = node.m_tokenServer.grant(request);
        node.m_fleet.deliver(node.m_origin.vm, vm,
            [response](SimulatedNode& requester) { requester.entry().onTokenResponse(response); });
    });
    return m_fleet.isUp(owner);
}

std::function<void()> SimulatedNode::makeNestedCall(
    const RouteId& callee, bool ofRepeat, Duration remainingTime, std::function<void(std::uint16_t)> done)
{
    HttpRequest request = m_fleet.makeRequest(callee, remainingTime);
    const std::string id = m_origin.vm.text + '-' + std::to_string(++m_nestedCallCount);
    request.head.fields.add(m_adapter.fieldNames().requestId, id);
    if (ofRepeat)
        m_fleet.retryUse().recordCallOfRepeat(id);
    else
        m_fleet.recordRequest(callee);
    const CallId call = m_entry.begin(std::move(request),
        [done = std::move(done)](const HttpResponse& response) { done(response.head.status); });
    return [this, call] { m_entry.cancel(call); };
}

} // namespace Ebonystack
