// Starts nodes, publishes their records and heartbeats to all nodes, and applies the scenario's faults.
#include "lab/SimulatedFleet.h"

#include "transport/NodePeriods.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {

const std::string simulationHost = "lab";

namespace {

using namespace std::chrono_literals;

constexpr Duration delayWithinDataCentre = 200us; // one way
constexpr Duration heartbeatPeriod = 500ms;
/// Between the writing of a record and its arrival at all nodes.
constexpr Duration propagationDelay = 100ms;
/// The platform removes the record of a VM this long after the VM has ended without notice.
constexpr Duration recordLifetime = 2s;
/// Between the notice and the end of a VM that drains.
constexpr Duration grace = 6s;
/// Published to switch the gate off: more slots than any load fills.
constexpr std::uint32_t unlimitedSlots = 100000;
/// The rate of the k-th largest team is proportional to k to the power of minus this.
constexpr double teamSizeExponent = 0.7;

/// Sets the strength of a fault of upstreams; `neutral` ends it.
struct UpstreamFault {
    void (SimulatedUpstream::*set)(double);
    double neutral;
};

const std::map<ScenarioFaultKind, UpstreamFault> upstreamFaults {
    { ScenarioFaultKind::Slow, { &SimulatedUpstream::setSlowdown, 1 } },
    { ScenarioFaultKind::LoseAnswers, { &SimulatedUpstream::setLostShare, 0 } },
    { ScenarioFaultKind::NameLimit, { &SimulatedUpstream::setNamedLimit, 0 } },
    { ScenarioFaultKind::NameLeaving, { &SimulatedUpstream::setLeaving, 0 } },
    { ScenarioFaultKind::Reject, { &SimulatedUpstream::setRejectedShare, 0 } },
};

DataCentre dataCentreOf(int index) { return { "dc" + std::to_string(index) }; }

ServingConfig makeConfig(const LoadScenario& scenario)
{
    ServingConfig config;
    config.version = 1;
    double usualRate = 0;
    for (const RequestKind& kind : scenario.kinds) {
        RouteConfig route;
        route.id = kind.name;
        route.host = simulationHost;
        route.pathPrefix = '/' + kind.name.text + '/';
        route.idempotent = kind.idempotent;
        route.isPublic = kind.requestsPerSecond <= 0;
        route.timeout = kind.timeout;
        route.targetLatency = kind.targetLatency;
        route.priority = kind.priority;
        route.maxAttempts = 2;
        route.shares = { { kind.service, 1 } };
        config.routes.push_back(std::move(route));
        usualRate += kind.requestsPerSecond;
    }
    double peak = 1;
    for (const LoadPhase& phase : scenario.phases)
        peak = std::max(peak, phase.factor);
    for (int team = 0; team < scenario.teams.count; ++team) {
        // Plans scale with the peak load, so that bursts are rejected for lack of slots, not by plans.
        const double rate
            = usualRate * teamLoadShare(scenario.teams, team) * scenario.teams.planFactor * peak;
        config.teams.push_back(
            { { "team" + std::to_string(team) }, { teamApiKey(team) }, std::nullopt, { rate, rate } });
    }
    config.hasTeams = true;
    return config;
}

} // namespace

std::string teamApiKey(int team) { return "key" + std::to_string(team); }

double teamLoadShare(const ScenarioTeams& teams, int team)
{
    double sum = 0;
    for (int rank = 0; rank < teams.count; ++rank)
        sum += std::pow(rank + 1, -teamSizeExponent);
    return std::pow(team + 1, -teamSizeExponent) / sum;
}

SimulatedFleet::SimulatedFleet(const LoadScenario& scenario, SimulationOptions options, std::uint64_t seed)
    : m_scenario(scenario)
    , m_options(options)
    , m_random(seed)
    , m_config(std::make_shared<const ServingIndex>(makeConfig(scenario)))
{
    for (const ScenarioService& service : scenario.services) {
        for (int i = 0; i < service.vms; ++i)
            startNode(service, i, false);
    }
    m_clock.every(tickPeriod, [this] {
        for (const auto& [vm, node] : m_nodes)
            node->tick();
    });
    m_clock.every(heartbeatPeriod, [this] { exchangeHeartbeats(); });
}

void SimulatedFleet::deliver(const VmId& from, const VmId& to, std::function<void(SimulatedNode&)> callback)
{
    const SimulatedNode* sender = find(from);
    const SimulatedNode* receiver = find(to);
    if (!sender || !receiver)
        return;
    Duration delay = Duration::zero();
    if (from != to)
        delay = sender->spec().record.dataCentre == receiver->spec().record.dataCentre ? delayWithinDataCentre
                                                                                       : m_scenario.delay;
    m_clock.after(
        delay, [this, to, incarnation = receiver->origin().incarnation, callback = std::move(callback)] {
            SimulatedNode* node = find(to);
            if (node && node->origin().incarnation == incarnation)
                callback(*node);
        });
}

HttpRequest SimulatedFleet::makeRequest(const RouteId& kind, Duration remainingTime) const
{
    const SimplePlatformAdapter adapter;
    HttpRequest request;
    request.head.method = "GET";
    request.head.target = '/' + kind.text + "/1";
    request.head.fields.add("Host", simulationHost);
    request.head.fields.add(adapter.fieldNames().deadline, std::to_string(toMilliseconds(remainingTime)));
    return request;
}

SimulatedNode* SimulatedFleet::pickEntryNode(const DataCentre& dataCentre, RandomSource& random)
{
    std::vector<SimulatedNode*> candidates;
    for (const auto& [vm, node] : m_nodes) {
        if (node->spec().record.dataCentre == dataCentre && !m_drainingVms.contains(vm))
            candidates.push_back(node.get());
    }
    return candidates.empty() ? nullptr : candidates[random.below(candidates.size())];
}

SimulatedNode* SimulatedFleet::find(const VmId& vm)
{
    const auto found = m_nodes.find(vm);
    return found == m_nodes.end() ? nullptr : found->second.get();
}

void SimulatedFleet::scheduleFaults()
{
    for (const ScenarioFault& fault : m_scenario.faults)
        m_clock.after(fault.from, [this, fault] { beginFault(fault); });
}

void SimulatedFleet::startNode(const ScenarioService& service, int index, bool cold)
{
    ++m_nodesStarted;
    NodeSpec spec;
    spec.record.vm
        = { "10.0." + std::to_string(m_nodesStarted / 250) + '.' + std::to_string(1 + m_nodesStarted % 250) };
    spec.record.instance = { "i-" + std::to_string(m_nodesStarted) };
    spec.record.service = service.name;
    spec.record.dataCentre = dataCentreOf(index % m_scenario.dataCentres);
    spec.record.address = spec.record.vm.text + ":80";
    spec.record.slots = service.slots;
    spec.speed = service.speeds[static_cast<std::size_t>(index) % service.speeds.size()];
    auto node = std::make_unique<SimulatedNode>(*this, spec, m_random());
    for (const auto& [instance, record] : m_publishedRecords)
        node->state().directory.put(record, { 0, ++m_revision }, m_clock.now());
    UpstreamRecord published = spec.record;
    if (cold) {
        node->upstream().startCold();
        published.remainingColdTime = SimulatedUpstream::coldDuration;
    }
    if (m_options.withoutGate)
        published.slots = unlimitedSlots;
    m_nodes[spec.record.vm] = std::move(node);
    publish(published);
}

void SimulatedFleet::publish(const UpstreamRecord& record)
{
    m_publishedRecords[record.instance] = record;
    for (const auto& [vm, node] : m_nodes) {
        node->state().directory.put(record, { 0, ++m_revision }, m_clock.now());
        node->onDirectoryChange();
    }
}

void SimulatedFleet::withdraw(const InstanceId& instance)
{
    m_publishedRecords.erase(instance);
    for (const auto& [vm, node] : m_nodes) {
        node->state().directory.remove(instance, std::nullopt, m_clock.now());
        node->onDirectoryChange();
    }
}

void SimulatedFleet::exchangeHeartbeats()
{
    for (const auto& [from, sender] : m_nodes) {
        const UpstreamLoad load = sender->hop().load();
        for (const auto& [to, receiver] : m_nodes) {
            if (from != to)
                deliver(from, to, [vm = from, load, this](SimulatedNode& node) {
                    node.state().recordLoadReport(vm, load, m_clock.now());
                });
        }
    }
}

std::vector<VmId> SimulatedFleet::selectVms(const ScenarioFault& fault) const
{
    std::vector<VmId> vms;
    for (const auto& [vm, node] : m_nodes) {
        if (node->spec().record.service == fault.service && !m_drainingVms.contains(vm))
            vms.push_back(vm);
    }
    const auto requested = static_cast<std::size_t>(std::ceil(fault.share * static_cast<double>(vms.size())));
    vms.resize(std::min(vms.size(), std::max<std::size_t>(requested, 1)));
    return vms;
}

void SimulatedFleet::beginFault(const ScenarioFault& fault)
{
    if (fault.kind == ScenarioFaultKind::HotTeam)
        return; // SimulatedCallers applies the factor
    const std::vector<VmId> vms = selectVms(fault);
    const auto upstreamFault = upstreamFaults.find(fault.kind);
    for (const VmId& vm : vms) {
        if (upstreamFault != upstreamFaults.end())
            (find(vm)->upstream().*upstreamFault->second.set)(fault.factor);
        else if (fault.kind == ScenarioFaultKind::Lose)
            loseVm(vm);
        else
            drainVm(vm);
    }
    if (!fault.until)
        return;
    m_clock.after(*fault.until - fault.from, [this, fault, vms, upstreamFault] {
        if (upstreamFault == upstreamFaults.end())
            return startReplacements(fault.service, vms.size());
        for (const VmId& vm : vms) {
            if (SimulatedNode* node = find(vm))
                (node->upstream().*upstreamFault->second.set)(upstreamFault->second.neutral);
        }
    });
}

void SimulatedFleet::loseVm(const VmId& vm)
{
    SimulatedNode* lost = find(vm);
    const InstanceId instance = lost->spec().record.instance;
    const HopOrigin origin = lost->origin();
    m_stoppedNodes.push_back(std::move(m_nodes.extract(vm).mapped()));
    for (const auto& [other, node] : m_nodes) {
        node->entry().onLinkDown(vm);
        node->hop().originLost(origin, true);
    }
    if (m_onVmLost)
        m_onVmLost(vm);
    m_clock.after(recordLifetime, [this, instance] { withdraw(instance); });
}

void SimulatedFleet::drainVm(const VmId& vm)
{
    SimulatedNode* leaving = find(vm);
    m_drainingVms[vm] = true;
    leaving->state().shutdownDeadline = m_clock.now() + grace - shutdownMargin;
    UpstreamRecord record = m_publishedRecords[leaving->spec().record.instance];
    record.draining = true;
    m_clock.after(propagationDelay, [this, record] { publish(record); });
    m_clock.after(grace, [this, vm, instance = record.instance] {
        SimulatedNode* node = find(vm);
        if (!node)
            return;
        m_requestsCutByDrain += node->entry().openCount() + node->hop().openCount();
        m_stoppedNodes.push_back(std::move(m_nodes.extract(vm).mapped()));
        withdraw(instance);
    });
}

void SimulatedFleet::startReplacements(const ServiceName& service, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        startNode(*m_scenario.findService(service), static_cast<int>(i), true);
}

} // namespace Ebonystack
