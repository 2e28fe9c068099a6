// Composition, periodic work, readiness, and the end of the process.
#include "transport/Sidecar.h"

#include "coordination/StoreContacts.h"
#include "coordination/StoreMirror.h"
#include "transport/ByteStream.h"
#include "transport/CallerServer.h"
#include "transport/EntryService.h"
#include "transport/HopService.h"
#include "transport/Log.h"
#include "transport/PeerLinks.h"
#include "transport/SidecarMetrics.h"
#include "transport/SidecarState.h"
#include "transport/StatusServer.h"
#include "transport/StoreReader.h"
#include "transport/StreamAcceptor.h"
#include "transport/SystemClock.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;
using ErrorCode = boost::system::error_code;

/// Resolution of all timers.
constexpr Duration tickPeriod = 10ms;
constexpr Duration gatePeriod = 20ms;
constexpr Duration linkPeriod = 50ms;
constexpr Duration planPeriod = 150ms;
constexpr Duration slowPeriod = 1s;
/// A gap between ticks above this means that the process stood still: beliefs about others are old then.
constexpr Duration pauseLimit = 400ms;
/// How long after a pause links are not judged by their silence.
constexpr Duration pauseGrace = 500ms;
/// Time in which the platform and the other nodes learn that this node is leaving; it serves on meanwhile.
constexpr Duration leaveTime = 2500ms;
/// Kept of the grace for the end of the process.
constexpr Duration graceMargin = 600ms;
/// A peer that holds newer changes for this long shows that this node's watch is dead.
constexpr Duration suspicionTime = 700ms;

std::uint64_t drawRandom()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string portAddress(const SidecarSettings& settings, std::uint16_t port)
{
    return settings.vm.text + ':' + std::to_string(port);
}

} // namespace

class Sidecar::Internals : public PeerEvents, public HopPath {
public:
    Internals(SidecarSettings settings, const PlatformDialect& dialect, Reload read)
        : state(io, std::move(settings), dialect, drawRandom())
        , reload(std::move(read))
        , self { state.settings.vm, drawRandom() | 1 }
        , mirror([this](const StoreItem& item) { onItem(item); })
        , store(io, state.timers, dialect, mirror, state.log, state.settings.storeAddress, drawRandom())
        , links(io, state.log, *this, { self.vm, self.incarnation }, state.settings.peerPort)
        , hop(state,
              [this](
                  const HopOrigin& origin, HopAnswer answer) { return replyTo(origin, std::move(answer)); })
        , entry(state, *this, drawRandom())
        , callers(state, entry)
        , planBuckets(1)
        , tick(io)
        , signals(io, SIGTERM, SIGINT)
        , reloadSignal(io, SIGHUP)
        , callerAcceptor(
              io, state.settings.callerAddress, [this](auto socket) { callers.accept(std::move(socket)); })
        , peerAcceptor(io, portAddress(state.settings, state.settings.peerPort),
              [this](auto socket) { links.accept(std::move(socket)); })
        , readiness(io, state.settings.readinessAddress, [this](std::string_view) { return readinessPage(); })
    {
        if (state.settings.metricsPort > 0)
            metrics.emplace(io, portAddress(state.settings, state.settings.metricsPort),
                [this](std::string_view) { return metricsPage(); });
    }

    void run()
    {
        startedAt = monotonicNow();
        Log::write(Log::Level::Info, "started",
            { { "vm", self.vm.text }, { "name", state.settings.name },
                { "service", state.settings.service.text }, { "incarnation", self.incarnation } });
        signals.async_wait([this](const ErrorCode& error, int) {
            if (!error)
                leave();
        });
        awaitReload();
        schedule();
        store.start(startedAt);
        lastTick = startedAt;
        nextTick();
        io.run();
        Log::write(Log::Level::Info, "stopped", { { "leftOpen", entry.open() + hop.open() } });
    }

private:
    // Periodic work.

    void schedule()
    {
        const Instant now = startedAt;
        state.timers.every(now, gatePeriod, [this](Instant at) { hop.tend(at); });
        state.timers.every(now, linkPeriod, [this](Instant at) { tendLinks(at); });
        state.timers.every(now, planPeriod, [this](Instant at) {
            state.choice.observe(self.vm, hop.load(), at);
            entry.plan(at);
            callers.tend(at);
        });
        state.timers.every(now, slowPeriod, [this](Instant at) {
            state.costs.fade();
            logLoad(at);
        });
    }

    /// One line a second with what the other nodes hear of this one, while it is not idle.
    void logLoad(Instant now)
    {
        const UpstreamLoad load = hop.load();
        if (load.gate.running == 0 && entry.open() == 0)
            return;
        state.log.state("load", now, [&] {
            return nlohmann::json { { "running", load.gate.running }, { "queued", load.gate.queued },
                { "limit", load.gate.limit }, { "shedShare", load.shedShare },
                { "holdMs", toMilliseconds(load.hold) }, { "accepts", load.accepts },
                { "openCalls", entry.open() }, { "linksUp", links.upCount() },
                { "storeRevision", mirror.revision() } };
        });
    }

    void nextTick()
    {
        tick.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(tickPeriod));
        tick.async_wait([this](const ErrorCode& error) {
            if (error)
                return;
            onTick();
            if (!ended)
                nextTick();
        });
    }

    void onTick()
    {
        const Instant now = monotonicNow();
        if (now - lastTick > pauseLimit) {
            pausedAt = now;
            state.log.state("process stood still", now, [&] {
                return nlohmann::json { { "forMs", toMilliseconds(now - lastTick) } };
            });
        }
        lastTick = now;
        state.timers.advance(now);
        if (state.isLeaving())
            endWhenDone(now);
    }

    void tendLinks(Instant now)
    {
        contacts.report(self.vm, !store.isAway(now), now);
        state.directory.expire(contacts, now);
        if (std::exchange(directoryChanged, false) || now - peersSetAt > slowPeriod)
            refreshPeers(now);
        if (!pausedAt || now - *pausedAt > pauseGrace)
            links.tend(now);
    }

    void refreshPeers(Instant now)
    {
        peersSetAt = now;
        std::vector<VmId> vms = state.directory.vms();
        state.repeats.setNodes(vms.size());
        std::erase(vms, self.vm);
        links.setPeers(vms);
        hop.refreshUpstream(now);
    }

    // What the store publishes.

    void onItem(const StoreItem& item)
    {
        const Instant now = monotonicNow();
        if (!item.value)
            return onRemoval(item, now);
        const auto read = state.dialect.readItem(item.key, *item.value);
        if (!read) {
            state.log.state("store item not usable", now, [&] {
                return nlohmann::json { { "key", item.key }, { "revision", item.revision },
                    { "reason", read.error() } };
            });
            if (const auto instance = state.dialect.instanceOfKey(item.key)) {
                state.directory.remove(*instance, std::nullopt);
                directoryChanged = true;
            }
            return;
        }
        if (const auto* upstream = std::get_if<UpstreamEntry>(&*read))
            onEntry(*upstream, item.revision, now);
        else if (const auto* config = std::get_if<ServingConfig>(&*read))
            onConfig(*config, item.revision, now);
    }

    void onRemoval(const StoreItem& item, Instant now)
    {
        const auto instance = state.dialect.instanceOfKey(item.key);
        if (!instance)
            return;
        const KnownUpstream* upstream = state.directory.find(*instance);
        const bool lacksContact = upstream && contacts.of(upstream->entry.vm, now) == StoreContact::Lost;
        const auto returnedAt = store.returnedAt();
        const bool storeWasAway = returnedAt && now < *returnedAt + lapsedEntryGrace;
        if (lacksContact)
            state.directory.removeWithoutContact(*instance);
        else
            state.directory.remove(
                *instance, storeWasAway ? std::optional(*returnedAt + lapsedEntryGrace) : std::nullopt);
        directoryChanged = true;
        state.log.state("upstream entry removed", now, [&] {
            return nlohmann::json { { "instance", instance->text }, { "revision", item.revision },
                { "lacksContact", lacksContact }, { "storeWasAway", storeWasAway } };
        });
    }

    void onEntry(const UpstreamEntry& upstream, std::uint64_t revision, Instant now)
    {
        state.directory.put(upstream, revision, now);
        directoryChanged = true;
        state.log.state("upstream entry", now, [&] {
            return nlohmann::json { { "instance", upstream.instance.text },
                { "service", upstream.service.text }, { "address", upstream.address },
                { "draining", upstream.draining }, { "slots", upstream.slots }, { "revision", revision } };
        });
    }

    void onConfig(const ServingConfig& config, std::uint64_t revision, Instant now)
    {
        if (state.config && config.version < state.config->config().version) {
            state.log.state("configuration refused", now, [&] {
                return nlohmann::json { { "version", config.version },
                    { "inForce", state.config->config().version },
                    { "reason", "older than the one in force" } };
            });
            return;
        }
        state.config = std::make_shared<const ServingIndex>(config);
        state.log.state("configuration in force", now, [&] {
            return nlohmann::json { { "version", config.version }, { "revision", revision },
                { "routes", config.routes.size() }, { "teams", config.teams.size() } };
        });
    }

    // PeerEvents.

    LinkBeat ownBeat() const override
    {
        const Instant now = monotonicNow();
        return { hop.load(), mirror.revision(), !store.isAway(now), toSeconds(now - startedAt) };
    }

    void onBeat(const VmId& vm, const LinkBeat& beat) override
    {
        const Instant now = monotonicNow();
        state.choice.observe(vm, beat.load, now);
        contacts.report(vm, beat.reachesStore, now);
        if (beat.storeRevision <= mirror.revision())
            return;
        if (now - askedAt > linkPeriod && links.send(vm, StoreAsk { mirror.revision() }))
            askedAt = now;
    }

    void onLinkUp(const VmId& vm, bool sameProcess) override { entry.onLinkUp(vm, sameProcess); }
    void onLinkDown(const VmId& vm) override { entry.onLinkDown(vm); }
    void onAnswer(const VmId& vm, HopAnswer answer) override { entry.onAnswer(vm, std::move(answer)); }

    void onStoreShare(const StoreShare& share) override
    {
        const Instant now = monotonicNow();
        if (share.revision <= mirror.revision())
            return;
        state.log.state("store changes from a peer", now, [&] {
            return nlohmann::json { { "revision", share.revision }, { "had", mirror.revision() },
                { "items", share.items.size() } };
        });
        for (const StoreItem& item : share.items)
            mirror.apply(item);
        mirror.completeUpTo(share.revision);
        const auto heardAt = store.heardAt();
        if (heardAt && now - *heardAt > suspicionTime)
            store.suspect(now);
    }

    void onTokenAnswer(const TokenAnswer& answer) override { entry.onTokens(answer); }

    void onRequest(const HopOrigin& origin, HopRequest request) override
    {
        hop.request(origin, std::move(request));
    }
    void onCancel(const HopOrigin& origin, std::uint64_t number) override { hop.cancel(origin, number); }
    void onResume(const HopOrigin& origin, const std::vector<std::uint64_t>& numbers) override
    {
        hop.resume(origin, numbers);
    }
    void onOriginLost(const HopOrigin& origin, bool forGood) override { hop.originLost(origin, forGood); }

    StoreShare storeShare(std::uint64_t since) const override
    {
        return { mirror.revision(), mirror.changesSince(since) };
    }

    TokenAnswer grantTokens(const TokenAsk& ask) override
    {
        const ServedTeam* team = state.config ? state.config->findTeam(ask.team) : nullptr;
        if (!team)
            return { ask.number, 0, leaveTime };
        const TokenGrant grant = planBuckets.take(ask.team, team->plan, ask.wanted, monotonicNow());
        return { ask.number, grant.tokens, grant.retryAfter };
    }

    // HopPath.

    bool canReach(const VmId& vm) const override { return vm == self.vm || links.isUp(vm); }

    bool sendRequest(const VmId& vm, HopRequest request) override
    {
        if (vm == self.vm) {
            hop.request(self, std::move(request));
            return true;
        }
        return links.send(vm, std::move(request));
    }

    void sendCancel(const VmId& vm, std::uint64_t number) override
    {
        if (vm == self.vm)
            hop.cancel(self, number);
        else
            links.send(vm, HopCancel { number });
    }

    void sendResume(const VmId& vm, const std::vector<std::uint64_t>& numbers) override
    {
        links.send(vm, HopResume { numbers });
    }

    bool askTokens(const VmId& home, const TokenAsk& ask) override
    {
        if (home != self.vm)
            return links.send(home, ask);
        const TokenAnswer answer = grantTokens(ask);
        entry.onTokens(answer);
        return true;
    }

    bool replyTo(const HopOrigin& origin, HopAnswer answer)
    {
        if (origin != self)
            return links.reply(origin, std::move(answer));
        entry.onAnswer(self.vm, std::move(answer));
        return true;
    }

    // Readiness, settings and the end.

    StatusPage readinessPage() const
    {
        const bool ready = state.config && !state.isLeaving() && state.directory.size() > 0;
        return { static_cast<std::uint16_t>(ready ? 200 : 503), "text/plain",
            ready ? "ready\n" : "not ready\n" };
    }

    StatusPage metricsPage() const
    {
        const SidecarFigures figures { hop.load(), callers.connections(), hop.connections(),
            hop.connectionsOpened(), links.upCount(), store.calls(), entry.open(), hop.open(),
            mirror.revision() };
        return { 200, "text/plain; version=0.0.4", writeSidecarMetrics(state, figures) };
    }

    void awaitReload()
    {
        reloadSignal.async_wait([this](const ErrorCode& error, int) {
            if (error)
                return;
            applySettings();
            awaitReload();
        });
    }

    void applySettings()
    {
        const auto settings = reload();
        if (!settings) {
            Log::write(Log::Level::Error, "settings not usable", { { "inForce", "the ones before" } });
            return;
        }
        state.settings.upstreamAddress = settings->upstreamAddress;
        state.settings.storeAddress = settings->storeAddress;
        state.settings.grace = settings->grace;
        state.settings.drain = settings->drain;
        store.setAddress(settings->storeAddress);
        if (const auto level = Log::parseLevel(settings->logLevel))
            Log::setLevel(*level);
        directoryChanged = true;
        Log::write(
            Log::Level::Info, "settings reloaded", { { "upstreamAddress", settings->upstreamAddress } });
    }

    void leave()
    {
        if (state.isLeaving())
            return;
        leavingSince = monotonicNow();
        state.endsAt = leavingSince + std::max(leaveTime, state.settings.grace - graceMargin);
        Log::write(
            Log::Level::Info, "leaving", { { "openCalls", entry.open() }, { "openHops", hop.open() } });
        links.beatNow(leavingSince);
    }

    void endWhenDone(Instant now)
    {
        const bool quiet = entry.open() == 0 && hop.open() == 0 && callers.busy() == 0;
        if (now > *state.endsAt || (now - leavingSince > leaveTime && quiet)) {
            ended = true;
            callers.closeIdle();
            io.stop();
        }
    }

    boost::asio::io_context io { 1 };
    SidecarState state;
    Reload reload;
    const HopOrigin self;
    StoreMirror mirror;
    StoreContacts contacts;
    StoreReader store;
    PeerLinks links;
    HopService hop;
    EntryService entry;
    CallerServer callers;
    PlanBuckets planBuckets; // of the teams whose home this VM is
    boost::asio::steady_timer tick;
    boost::asio::signal_set signals;
    boost::asio::signal_set reloadSignal;
    StreamAcceptor callerAcceptor;
    StreamAcceptor peerAcceptor;
    StatusServer readiness;
    std::optional<StatusServer> metrics;
    Instant startedAt;
    Instant lastTick;
    Instant peersSetAt;
    Instant askedAt; // when a peer was asked for store changes last
    Instant leavingSince; // set while the node is leaving
    std::optional<Instant> pausedAt;
    bool directoryChanged { false };
    bool ended { false };
};

Sidecar::Sidecar(SidecarSettings settings, const PlatformDialect& dialect, Reload reload)
    : m_internals(std::make_unique<Internals>(std::move(settings), dialect, std::move(reload)))
{
}

Sidecar::~Sidecar() = default;

void Sidecar::run() { m_internals->run(); }

} // namespace Ebonystack
