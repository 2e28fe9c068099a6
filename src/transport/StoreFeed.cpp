// Connects the decisions about roles and changes with the store's reader and the links.
#include "transport/StoreFeed.h"

#include <nlohmann/json.hpp>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// A node that has started takes all nodes of its data centre as linked for this time. Otherwise each node of
/// a fleet that starts would be the only candidate it knows, and a reader.
constexpr Duration warmUpTime = 3s;
/// If a peer holds newer changes and no store call of this reader has succeeded for longer than this, the
/// reader's watch is taken as dead.
constexpr Duration staleWatchTimeout = 700ms;

} // namespace

StoreFeed::StoreFeed(SidecarState& state, StoreMirror& mirror, StoreReader& reader, PeerLinks& links,
    const StoreReachability& reachability)
    : m_state(state)
    , m_mirror(mirror)
    , m_reader(reader)
    , m_links(links)
    , m_reachability(reachability)
    , m_relay(mirror)
{
}

void StoreFeed::start(Instant now)
{
    m_startedAt = now;
    m_reader.subscribe([this] { push(); });
    setPlan();
    m_reader.start(now);
}

void StoreFeed::refreshPeers()
{
    m_localPeers = m_state.directory.vmsIn(m_state.settings.dataCentre);
    std::erase(m_localPeers, m_state.settings.vm);
    m_dataCentres = m_state.directory.dataCentreCount();
    setPlan();
}

void StoreFeed::tick(Instant now)
{
    if (m_mirror.revision() == 0)
        return; // the first listing is not complete
    const StoreRole role = storeRoleOf(m_state.settings.vm, m_state.settings.dataCentre, candidates(now));
    if (role != m_role)
        setRole(role, now);
}

std::vector<StoreRoleCandidate> StoreFeed::candidates(Instant now) const
{
    std::vector<StoreRoleCandidate> found { { m_state.settings.vm, !m_reader.isUnreachable(now) } };
    for (const VmId& vm : m_localPeers) {
        if (m_links.isUp(vm) || now - m_startedAt < warmUpTime)
            found.push_back({ vm, m_reachability.stateOf(vm, now) != StoreReachabilityState::Unreachable });
    }
    return found;
}

void StoreFeed::setRole(StoreRole role, Instant now)
{
    m_state.log.state("store role", now, [&] {
        return nlohmann::json { { "role", describe(role) }, { "was", describe(m_role) },
            { "revision", m_mirror.revision() } };
    });
    if (m_role == StoreRole::Follower)
        m_relay.startPushing();
    m_role = role;
    setPlan();
}

void StoreFeed::setPlan() { m_reader.setPlan(callPlanOf(m_role, m_dataCentres)); }

void StoreFeed::push()
{
    if (m_role == StoreRole::Follower)
        return;
    auto push = m_relay.takePush();
    if (!push)
        return;
    const StorePosition since { push->update.era.value_or(m_mirror.era()), push->update.since };
    if (const auto confirmedAt = m_mirror.confirmedAt(since))
        push->sinceAge = m_state.now() - *confirmedAt;
    m_links.sendToAll(m_localPeers, *push);
}

void StoreFeed::onPeerPosition(const VmId& vm, const StorePosition& position, Instant now)
{
    if (const auto request = m_relay.compareWithPeer(position, now))
        m_links.send(vm, *request);
}

void StoreFeed::onChanges(const StoreChangesResponse& response, Instant now)
{
    const StoreUpdate& update = response.update;
    if (StorePosition { update.era.value_or(m_mirror.era()), update.revision } <= m_mirror.position())
        return;
    m_state.log.state("store changes from a peer", now, [&] {
        return nlohmann::json { { "revision", update.revision },
            { "era", update.era.value_or(m_mirror.era()) }, { "had", m_mirror.revision() },
            { "since", update.since }, { "items", update.items.size() },
            { "removalsMissing", update.otherKeys.has_value() } };
    });
    m_relay.receiveResponse(response);
    push();
    const auto lastSuccessAt = m_reader.lastSuccessAt();
    const bool watchesAll = m_role != StoreRole::Follower;
    if (watchesAll && lastSuccessAt && now - *lastSuccessAt > staleWatchTimeout)
        m_reader.reconnectStaleWatch(now);
}

void StoreFeed::onPush(const VmId& vm, const StoreChangesPush& push, Instant now)
{
    const std::uint64_t had = m_mirror.revision();
    if (const auto request = m_relay.receivePush(push))
        m_links.send(vm, *request);
    m_state.log.state("store changes pushed", now, [&] {
        return nlohmann::json { { "from", vm.text }, { "revision", push.update.revision },
            { "era", push.update.era.value_or(m_mirror.era()) }, { "had", had },
            { "items", push.update.items.size() } };
    });
}

} // namespace Ebonystack
