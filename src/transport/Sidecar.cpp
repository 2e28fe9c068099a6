// Composition, periodic work, store updates, readiness, settings reload and shutdown of a node.
#include "transport/Sidecar.h"

#include "coordination/ArrivalTimes.h"
#include "coordination/PlanShare.h"
#include "coordination/StoreMirror.h"
#include "coordination/StoreReachability.h"
#include "transport/ByteStream.h"
#include "transport/CallerServer.h"
#include "transport/EntryService.h"
#include "transport/HopService.h"
#include "transport/Log.h"
#include "transport/NodePeriods.h"
#include "transport/PeerLinks.h"
#include "transport/ProcessHeap.h"
#include "transport/SidecarMetrics.h"
#include "transport/SidecarState.h"
#include "transport/StatusServer.h"
#include "transport/StoreFeed.h"
#include "transport/StoreReader.h"
#include "transport/StreamAcceptor.h"
#include "transport/SystemClock.h"
#include "transport/TokenServer.h"
#include "transport/UpstreamConnectionPool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;
using ErrorCode = boost::system::error_code;

constexpr Duration poolPeriod = 100ms;
constexpr Duration linkPeriod = 50ms;
/// Minimum time from the stop signal to the end of the process, in which the platform learns that this node
/// is leaving. The node keeps serving during this time.
constexpr Duration minLeaveTime = 2500ms;

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string portAddress(const SidecarSettings& settings, std::uint16_t port)
{
    return settings.vm.text + ':' + std::to_string(port);
}

} // namespace

class Sidecar::Internals : public PeerEvents, public NodeTransport {
public:
    Internals(SidecarSettings settings, const PlatformAdapter& adapter, Reload reload)
        : m_state(m_io, std::move(settings), adapter, randomSeed())
        , m_reload(std::move(reload))
        , m_localOrigin { m_state.settings.vm, randomSeed() | 1 }
        , m_mirror([this](const StoreItem& item) { onStoreItem(item); },
              [this](const std::string& key) { onStoreItemLost(key); })
        , m_store(m_io, m_state.timers, adapter, m_mirror, m_state.log, m_state.settings.storeAddress,
              randomSeed())
        , m_links(m_io, m_state.log, *this, { m_localOrigin.vm, m_localOrigin.incarnation },
              m_state.settings.peerPort, m_state.memory)
        , m_feed(m_state, m_mirror, m_store, m_links, m_storeReachability)
        , m_pool(m_io, m_state.settings.upstreamAddress, adapter.fieldNames(), m_state.memory)
        , m_hop(m_state, m_pool,
              [this](const HopOrigin& origin, HopResponse response) {
                  return replyTo(origin, std::move(response));
              })
        , m_entry(m_state, *this, randomSeed())
        , m_callers(m_state, m_entry)
        , m_tokenServer(m_state)
        , m_tickTimer(m_io)
        , m_signals(m_io, SIGTERM, SIGINT)
        , m_reloadSignal(m_io, SIGHUP)
        , m_callerAcceptor(
              m_io, m_state.settings.callerAddress,
              [this](auto socket) { m_callers.accept(std::move(socket)); }, localReceiveBufferBytes)
        , m_peerAcceptor(m_io, portAddress(m_state.settings, m_state.settings.peerPort),
              [this](auto socket) { m_links.accept(std::move(socket)); })
        , m_readiness(
              m_io, m_state.settings.readinessAddress, [this](std::string_view) { return readinessPage(); })
    {
        if (m_state.settings.metricsPort > 0)
            m_metrics.emplace(m_io, portAddress(m_state.settings, m_state.settings.metricsPort),
                [this](std::string_view) { return metricsPage(); });
    }

    void run()
    {
        m_startedAt = monotonicNow();
        Log::write(Log::Level::Info, "started",
            { { "vm", m_localOrigin.vm.text }, { "name", m_state.settings.name },
                { "service", m_state.settings.service.text }, { "incarnation", m_localOrigin.incarnation } });
        m_signals.async_wait([this](const ErrorCode& error, int) {
            if (!error)
                leave();
        });
        awaitReload();
        schedulePeriodicWork();
        m_feed.start(m_startedAt);
        m_arrivalTimes = ArrivalTimes(m_startedAt);
        nextTick();
        m_io.run();
        Log::write(Log::Level::Info, "stopped",
            { { "leftOpen", m_entry.openCount() + m_hop.openCount() },
                { "leftUnread", m_callers.slowReaders().unreadBytes } });
    }

private:
    // Periodic work.

    void schedulePeriodicWork()
    {
        const Instant now = m_startedAt;
        m_state.timers.every(now, gatePeriod, [this](Instant at) { m_hop.tick(at); });
        m_state.timers.every(now, poolPeriod, [this](Instant) { m_pool.closeIdle(); });
        m_state.timers.every(now, linkPeriod, [this](Instant at) { tickLinks(at); });
        m_state.timers.every(now, admissionPeriod, [this](Instant at) {
            m_state.recordLoadReport(m_localOrigin.vm, m_hop.load(), at);
            m_entry.updateAdmittedShares(at);
            m_callers.tick(at);
            m_tokenServer.tick(at);
        });
        m_state.timers.every(now, housekeepingPeriod, [this](Instant at) {
            m_state.costs.decay();
            trimHeap(SidecarState::maxFreeHeap(m_state.settings));
            logLoad(at);
            Log::flush();
        });
    }

    /// Called once a second. Unless the node is idle, logs the load that heartbeats report to the other
    /// nodes.
    void logLoad(Instant now)
    {
        const UpstreamLoad load = m_hop.load();
        if (load.gate.running == 0 && m_entry.openCount() == 0)
            return;
        m_state.log.state("load", now, [&] {
            return nlohmann::json { { "running", load.gate.running }, { "queued", load.gate.queued },
                { "limit", load.gate.limit }, { "shedShare", load.shedShare },
                { "holdMs", toMilliseconds(load.meanServiceTime) }, { "accepts", load.acceptsRequests },
                { "arrivalsPerS", load.retryLoad.arrivals }, { "rejectedPerS", load.retryLoad.rejections },
                { "repeatsLeft", load.retryLoad.repeatsLeft }, { "openCalls", m_entry.openCount() },
                { "linksUp", m_links.upCount() }, { "storeRevision", m_mirror.revision() },
                { "storeEra", m_mirror.era() } };
        });
    }

    void nextTick()
    {
        m_tickTimer.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(tickPeriod));
        m_tickTimer.async_wait([this](const ErrorCode& error) {
            if (error)
                return;
            onTick();
            if (!m_stopping)
                nextTick();
        });
    }

    void onTick()
    {
        const Instant now = monotonicNow();
        if (const auto stall = m_arrivalTimes.tick(now)) {
            m_state.log.state("process stood still", now, [&] {
                return nlohmann::json { { "forMs", toMilliseconds(*stall) } };
            });
        }
        m_state.timers.advance(now);
        if (m_state.isLeaving())
            stopWhenIdle(now);
    }

    void tickLinks(Instant now)
    {
        observeStoreContact(now);
        m_state.directory.expire(m_storeReachability, now);
        if (std::exchange(m_directoryChanged, false) || now - m_peersRefreshedAt > housekeepingPeriod)
            refreshPeers(now);
        if (!m_arrivalTimes.isCatchingUp(now)) // links are not checked for silence
            m_links.tick(now);
        m_feed.tick(now);
        m_tokenServer.setPlanShare(m_store.isUnreachable(now)
                ? ownerPlanShareWithoutStore(m_links.upCount() + 1, m_state.directory.vms().size())
                : 1);
    }

    void observeStoreContact(Instant now)
    {
        const StoreContact& contact = m_store.contact();
        m_storeReachability.setLocal(contact);
        m_storeReachability.report(m_localOrigin.vm, !m_store.isUnreachable(now), now, contact);
    }

    void refreshPeers(Instant now)
    {
        m_peersRefreshedAt = now;
        // A lost link is opened again also without a record: the node may have responses for this one.
        std::set<VmId> vms = m_entry.awaitedVms();
        const std::vector<VmId> recorded = m_state.directory.vms();
        vms.insert(recorded.begin(), recorded.end());
        vms.erase(m_localOrigin.vm);
        m_links.setPeers({ vms.begin(), vms.end() });
        m_hop.refreshUpstream(now);
        m_feed.refreshPeers();
        m_state.upstreamNotices.removeUnknown(m_state.directory);
    }

    // Updates from the store.

    /// The time of a change that the mirror has just received.
    ChangeTime changeTime(Instant now) const { return { now, m_mirror.confirmedAt() }; }

    /// How old a change that the mirror has just received is at most, in milliseconds, for log lines; null if
    /// that is not known.
    nlohmann::json newsAge(Instant now) const
    {
        const auto confirmedAt = m_mirror.confirmedAt();
        return confirmedAt ? nlohmann::json(toMilliseconds(now - *confirmedAt)) : nlohmann::json();
    }

    void onStoreItem(const StoreItem& item)
    {
        const Instant now = monotonicNow();
        if (!item.value)
            return onStoreItemRemoved(item, now);
        const auto decoded = m_state.adapter.readItem(item.key, *item.value);
        if (!decoded) {
            m_state.log.state("store item not usable", now, [&] {
                return nlohmann::json { { "key", item.key }, { "revision", item.revision },
                    { "reason", decoded.error() } };
            });
            if (const auto instance = m_state.adapter.instanceOfKey(item.key)) {
                m_state.directory.remove(*instance, std::nullopt, changeTime(now));
                m_directoryChanged = true;
            }
            return;
        }
        if (const auto* upstream = std::get_if<UpstreamRecord>(&*decoded))
            onUpstreamRecord(*upstream, item.revision, now);
        else if (const auto* config = std::get_if<ServingConfig>(&*decoded))
            onConfig(*config, item.revision, now);
    }

    void onStoreItemRemoved(const StoreItem& item, Instant now)
    {
        const auto instance = m_state.adapter.instanceOfKey(item.key);
        if (!instance)
            return;
        const KnownUpstream* upstream = m_state.directory.find(*instance);
        const bool vmLostStore = upstream
            && m_storeReachability.stateOf(upstream->record.vm, now) == StoreReachabilityState::Unreachable;
        observeStoreContact(now);
        const StoreContact& local = m_storeReachability.local();
        const bool storeWasUnreachable
            = local.lostAfter || (local.lastOutage && now < local.lastOutage->endedBy + lapsedRecordGrace);
        m_state.directory.removeUnlessLapsed(*instance, changeTime(now));
        m_state.directory.expire(m_storeReachability, now);
        m_directoryChanged = true;
        m_state.log.state("upstream entry removed", now, [&] {
            return nlohmann::json { { "instance", instance->text }, { "revision", item.revision },
                { "lacksContact", vmLostStore }, { "storeWasAway", storeWasUnreachable },
                { "kept", m_state.directory.find(*instance) != nullptr }, { "newsAgeMs", newsAge(now) } };
        });
    }

    /// Called when a restored store lacks an item. A lost configuration stays in force until it is written
    /// again.
    void onStoreItemLost(const std::string& key)
    {
        const auto instance = m_state.adapter.instanceOfKey(key);
        if (!instance)
            return;
        const Instant now = monotonicNow();
        m_state.directory.remove(*instance, now + restoredRecordGrace, changeTime(now));
        m_directoryChanged = true;
        m_state.log.state("upstream entry lost", now, [&] {
            return nlohmann::json { { "instance", instance->text }, { "era", m_mirror.era() } };
        });
    }

    void onUpstreamRecord(const UpstreamRecord& upstream, std::uint64_t revision, Instant now)
    {
        m_state.directory.put(upstream, { m_mirror.era(), revision }, changeTime(now));
        m_directoryChanged = true;
        m_state.log.state("upstream entry", now, [&] {
            return nlohmann::json { { "instance", upstream.instance.text },
                { "service", upstream.service.text }, { "address", upstream.address },
                { "draining", upstream.draining }, { "slots", upstream.slots }, { "revision", revision },
                { "newsAgeMs", newsAge(now) } };
        });
    }

    void onConfig(const ServingConfig& config, std::uint64_t revision, Instant now)
    {
        if (m_state.config && config.version < m_state.config->config().version) {
            m_state.log.state("configuration refused", now, [&] {
                return nlohmann::json { { "version", config.version },
                    { "inForce", m_state.config->config().version },
                    { "reason", "older than the one in force" } };
            });
            return;
        }
        m_state.config = std::make_shared<const ServingIndex>(config);
        m_state.log.state("configuration in force", now, [&] {
            return nlohmann::json { { "version", config.version }, { "revision", revision },
                { "routes", config.routes.size() }, { "teams", config.teams.size() } };
        });
    }

    // PeerEvents.

    LinkHeartbeat localHeartbeat() const override
    {
        const Instant now = monotonicNow();
        const auto confirmedAt = m_mirror.confirmedAt();
        return { m_hop.load(), m_mirror.revision(), !m_store.isUnreachable(now), toSeconds(now - m_startedAt),
            m_mirror.era(), confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt,
            agesOf(m_store.contact(), now) };
    }

    void onHeartbeat(const VmId& vm, const LinkHeartbeat& heartbeat) override
    {
        const Instant now = monotonicNow();
        const Instant arrivedAfter = m_arrivalTimes.earliestArrival(now);
        m_state.recordLoadReport(vm, heartbeat.load, now);
        m_storeReachability.report(vm, heartbeat.reachesStore, now,
            heartbeat.storeContact ? std::optional(contactOf(*heartbeat.storeContact, arrivedAfter))
                                   : std::nullopt);
        const StorePosition position { heartbeat.storeEra.value_or(m_mirror.era()), heartbeat.storeRevision };
        if (heartbeat.copyAge)
            m_mirror.confirm(position, arrivedAfter - *heartbeat.copyAge);
        m_feed.onPeerPosition(vm, position, now);
    }

    void onLinkUp(const VmId& vm, std::uint64_t process) override { m_entry.onLinkUp(vm, process); }
    void onLinkDown(const VmId& vm) override { m_entry.onLinkDown(vm); }
    void onResponse(const VmId& vm, HopResponse response) override
    {
        m_entry.onResponse(vm, std::move(response));
    }

    void onResponseDiscarded(const VmId& vm, std::uint64_t number) override
    {
        m_entry.onResponseDiscarded(vm, number);
    }

    void onStoreChanges(const StoreChangesResponse& response) override
    {
        m_feed.onChanges(response, monotonicNow());
    }
    void onStoreChangesPush(const VmId& vm, const StoreChangesPush& push) override
    {
        const Instant now = monotonicNow();
        if (push.sinceAge) {
            m_mirror.confirm({ push.update.era.value_or(m_mirror.era()), push.update.since },
                m_arrivalTimes.earliestArrival(now) - *push.sinceAge);
        }
        m_feed.onPush(vm, push, now);
    }

    void onTokenResponse(const TokenResponse& response) override { m_entry.onTokenResponse(response); }

    void onRequest(const HopOrigin& origin, HopRequest request) override
    {
        m_hop.request(origin, std::move(request));
    }
    void onRequestRefused(const HopOrigin& origin, std::uint64_t number) override
    {
        m_hop.refuse(origin, number);
    }
    void onCancel(const HopOrigin& origin, std::uint64_t number) override { m_hop.cancel(origin, number); }
    void onResume(const HopOrigin& origin, const HopResume& resume) override
    {
        m_hop.resume(origin, resume.numbers, resume.process == m_localOrigin.incarnation);
    }
    void onOriginLost(const HopOrigin& origin, bool processEnded) override
    {
        m_hop.originLost(origin, processEnded);
    }

    StoreChangesResponse storeChanges(const StoreChangesRequest& request) const override
    {
        return { m_mirror.changesSince({ request.era.value_or(m_mirror.era()), request.since }) };
    }

    TokenResponse grantTokens(const TokenRequest& request) override { return m_tokenServer.grant(request); }

    // NodeTransport.

    bool canReach(const VmId& vm) const override { return processAt(vm).has_value(); }

    std::optional<std::uint64_t> processAt(const VmId& vm) const override
    {
        return vm == m_localOrigin.vm ? m_localOrigin.incarnation : m_links.processAt(vm);
    }

    bool sendRequest(const VmId& vm, HopRequest request) override
    {
        if (vm == m_localOrigin.vm) {
            m_hop.request(m_localOrigin, std::move(request));
            return true;
        }
        return m_links.send(vm, std::move(request));
    }

    void sendCancel(const VmId& vm, std::uint64_t number) override
    {
        if (vm == m_localOrigin.vm)
            m_hop.cancel(m_localOrigin, number);
        else
            m_links.send(vm, HopCancel { number });
    }

    void sendResume(const VmId& vm, const HopResume& resume) override { m_links.send(vm, resume); }

    bool requestTokens(const VmId& owner, const TokenRequest& request) override
    {
        if (owner != m_localOrigin.vm)
            return m_links.send(owner, request);
        const TokenResponse response = grantTokens(request);
        m_entry.onTokenResponse(response);
        return true;
    }

    bool replyTo(const HopOrigin& origin, HopResponse response)
    {
        if (origin != m_localOrigin)
            return m_links.reply(origin, std::move(response));
        m_entry.onResponse(m_localOrigin.vm, std::move(response));
        return true;
    }

    // Readiness, metrics, settings and shutdown.

    StatusPage readinessPage() const
    {
        const bool ready = m_state.config && !m_state.isLeaving() && m_state.directory.size() > 0;
        return { static_cast<std::uint16_t>(ready ? 200 : 503), "text/plain",
            ready ? "ready\n" : "not ready\n" };
    }

    StatusPage metricsPage() const
    {
        const auto lastSuccessAt = m_store.lastSuccessAt();
        const auto silence = lastSuccessAt ? std::optional(monotonicNow() - *lastSuccessAt) : std::nullopt;
        const SidecarStats stats { m_hop.load(), m_callers.connectionCount(), m_callers.slowReaders(),
            m_pool.connectionCount(), m_pool.openedCount(), m_pool.strayResponseCount(), m_links.upCount(),
            m_store.callCount(), m_entry.openCount(), m_hop.openCount(), m_mirror.revision(), m_mirror.era(),
            silence };
        return { 200, "text/plain; version=0.0.4", writeSidecarMetrics(m_state, stats) };
    }

    void awaitReload()
    {
        m_reloadSignal.async_wait([this](const ErrorCode& error, int) {
            if (error)
                return;
            applySettings();
            awaitReload();
        });
    }

    void applySettings()
    {
        const auto settings = m_reload();
        if (!settings) {
            Log::write(Log::Level::Error, "settings not usable", { { "inForce", "the previous settings" } });
            return;
        }
        m_state.settings.upstreamAddress = settings->upstreamAddress;
        m_pool.setAddress(settings->upstreamAddress);
        m_state.settings.storeAddress = settings->storeAddress;
        m_state.settings.grace = settings->grace;
        m_state.settings.drain = settings->drain;
        m_store.setAddress(settings->storeAddress);
        if (const auto level = Log::parseLevel(settings->logLevel))
            Log::setLevel(*level);
        m_directoryChanged = true;
        Log::write(
            Log::Level::Info, "settings reloaded", { { "upstreamAddress", settings->upstreamAddress } });
    }

    void leave()
    {
        if (m_state.isLeaving())
            return;
        applySettings(); // the file may have changed without a signal
        m_leavingSince = monotonicNow();
        m_state.shutdownDeadline
            = m_leavingSince + std::max(minLeaveTime, m_state.settings.grace - shutdownMargin);
        Log::write(Log::Level::Info, "leaving",
            { { "openCalls", m_entry.openCount() }, { "openHops", m_hop.openCount() } });
        m_state.timers.at(
            *m_state.shutdownDeadline - finalDrainTime, [this](Instant now) { m_links.sendHeartbeats(now); });
    }

    void stopWhenIdle(Instant now)
    {
        const bool isIdle = m_entry.openCount() == 0 && m_hop.openCount() == 0 && m_callers.busyCount() == 0
            && !m_links.hasUnacknowledgedReplies();
        if (now > *m_state.shutdownDeadline || (now - m_leavingSince > minLeaveTime && isIdle)) {
            m_stopping = true;
            m_callers.closeIdle();
            // Responses queued in this turn of the event loop, also those on links to other nodes, are
            // written in the next one.
            boost::asio::post(m_io, [this] { m_io.stop(); });
        }
    }

    boost::asio::io_context m_io { 1 };
    SidecarState m_state;
    Reload m_reload;
    const HopOrigin m_localOrigin;
    StoreMirror m_mirror;
    StoreReachability m_storeReachability;
    StoreReader m_store;
    PeerLinks m_links;
    StoreFeed m_feed;
    UpstreamConnectionPool m_pool;
    HopService m_hop;
    EntryService m_entry;
    CallerServer m_callers;
    TokenServer m_tokenServer;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reloadSignal;
    StreamAcceptor m_callerAcceptor;
    StreamAcceptor m_peerAcceptor;
    StatusServer m_readiness;
    std::optional<StatusServer> m_metrics;
    Instant m_startedAt;
    Instant m_peersRefreshedAt;
    Instant m_leavingSince; // set while the node is leaving
    ArrivalTimes m_arrivalTimes { monotonicNow() };
    bool m_directoryChanged { false };
    bool m_stopping { false };
};

Sidecar::Sidecar(SidecarSettings settings, const PlatformAdapter& adapter, Reload reload)
    : m_internals(std::make_unique<Internals>(std::move(settings), adapter, std::move(reload)))
{
}

Sidecar::~Sidecar() = default;

void Sidecar::run() { m_internals->run(); }

} // namespace Ebonystack
