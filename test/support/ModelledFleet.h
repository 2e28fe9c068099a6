// Three nodes with the real entry and hop services, in virtual time. Links, connections to the upstreams, the
// store's records and the callers are models: a link can be lost with or without the bytes under way, seen by
// one end first; processes are paused, replaced and stopped; records lapse and are written again.
#pragma once

#include "support/ModelledUpstream.h"
#include "support/SidecarFixtures.h"
#include "transport/HopService.h"
#include "transport/NodePeriods.h"
#include "transport/TokenServer.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Ebonystack::Testing {

using namespace std::chrono_literals;

class ModelledFleet {
public:
    static constexpr std::size_t vmCount = 3;

    /// Which bytes under way a lost link still delivers, and which end sees the loss first.
    enum class LinkLoss {
        BothEndsAtOnce, ///< nothing under way is read
        EntryNodeFirst, ///< requests under way are read until the next hello
        UpstreamNodeFirst, ///< responses under way are read
    };

    struct CallerRequest {
        bool isIdempotent { false };
        std::size_t vm { 0 };
        std::uint64_t process { 0 }; // incarnation of the entry node
        CallId call { 0 };
        int responses { 0 };
        std::uint16_t status { 0 }; // 0: none
        bool isGone { false }; // the caller has disconnected
    };

    explicit ModelledFleet(std::uint64_t seed)
        : random(seed)
        , upstreams { { { m_clock, random }, { m_clock, random }, { m_clock, random } } }
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            writeRecord(vm);
            startProcess(vm);
        }
        m_clock.every(tickPeriod, [this] {
            for (std::size_t vm = 0; vm < vmCount; ++vm) {
                if (m_nodes[vm] && m_pausedUntil[vm] <= m_clock.now())
                    m_nodes[vm]->state.timers.advance(m_clock.now());
            }
        });
    }

    void advance(Duration time) { m_clock.runUntil(m_clock.now() + time); }

    void sendRequest(std::size_t vm, const std::string& route, Duration deadline)
    {
        if (!m_nodes[vm])
            return;
        const std::string id = std::to_string(requests.size() + 1);
        CallerRequest& sent = requests[id];
        sent.isIdempotent = route == "read";
        sent.vm = vm;
        sent.process = m_nodes[vm]->origin.incarnation;
        HttpRequest request = makeCallerRequest("/" + route + "/1", id);
        request.head.fields.removeIf([&](const HttpField& field) {
            return field.name == "X-Left" || (field.name == "Authorization" && route == "call");
        });
        request.head.fields.add("X-Left", std::to_string(toMilliseconds(deadline)));
        sent.call = m_nodes[vm]->entry.begin(std::move(request), [&sent](const HttpResponse& response) {
            ++sent.responses;
            sent.status = response.head.status;
        });
    }

    void disconnectCaller(const std::string& id)
    {
        CallerRequest& sent = requests.at(id);
        if (sent.responses > 0 || !isAlive(sent.vm, sent.process))
            return;
        sent.isGone = true;
        m_nodes[sent.vm]->entry.cancel(sent.call);
    }

    /// It is opened again after `cut`, or after a random time.
    void loseLink(std::size_t from, std::size_t to, LinkLoss loss, std::optional<Duration> cut = {})
    {
        Link& link = m_links[from][to];
        if (!link.isUp)
            return;
        if (loss != LinkLoss::EntryNodeFirst && m_nodes[to])
            dropIncoming(to, from, link.generation, false);
        const auto onLost = [this, from, to, cut, generation = link.generation] {
            Link& lost = m_links[from][to];
            if (!lost.isUp || lost.generation != generation)
                return;
            lost.isUp = false;
            if (m_nodes[from])
                m_nodes[from]->entry.onLinkDown(vmId(to));
            openLater(from, to, cut);
        };
        if (loss == LinkLoss::UpstreamNodeFirst)
            m_clock.after(randomTime(300ms), onLost);
        else
            onLost();
        if (loss == LinkLoss::EntryNodeFirst) {
            m_clock.after(incomingSilenceTimeout, [this, from, to, generation = link.generation] {
                dropIncoming(to, from, generation, false);
            });
        }
    }

    /// Ends the node's process and starts another after `time`. What the others have sent to it stays unread.
    void replaceProcess(std::size_t vm, Duration time)
    {
        if (!m_nodes[vm])
            return;
        m_nodes[vm]->pool->endAll();
        m_nodes[vm].reset();
        for (std::size_t other = 0; other < vmCount; ++other) {
            m_links[vm][other].isUp = false;
            const Link& link = m_links[other][vm];
            const Duration silence = random.below(2) == 0 ? 5ms : 1600ms;
            m_clock.after(silence, [this, other, vm, generation = link.generation] {
                if (m_links[other][vm].generation == generation)
                    loseLink(other, vm, LinkLoss::EntryNodeFirst);
            });
            const std::uint64_t opened = m_links[vm][other].generation;
            m_clock.after(silence, [this, other, vm, opened] { dropIncoming(other, vm, opened, false); });
        }
        m_clock.after(time, [this, vm] { startProcess(vm); });
    }

    /// The node neither reads nor acts for `time`. The others end their links to it when it is silent for too
    /// long; what they have sent is read afterwards.
    void pause(std::size_t vm, Duration time)
    {
        m_pausedUntil[vm] = std::max(m_pausedUntil[vm], m_clock.now() + time);
        if (time < silenceTimeout)
            return;
        m_clock.after(silenceTimeout, [this, vm] {
            for (std::size_t other = 0; other < vmCount; ++other)
                loseLink(other, vm, LinkLoss::EntryNodeFirst);
        });
    }

    /// Stops the node as SIGTERM does, and starts another process after `time`.
    void stop(std::size_t vm, Duration time)
    {
        if (!m_nodes[vm] || m_nodes[vm]->state.isLeaving())
            return;
        const Duration leaveTime = 2500ms + randomTime(2000ms);
        m_nodes[vm]->state.shutdownDeadline = m_clock.now() + leaveTime;
        m_clock.after(leaveTime, [this, vm, process = m_nodes[vm]->origin.incarnation, time] {
            if (isAlive(vm, process))
                replaceProcess(vm, time);
        });
    }

    /// Removes the record of the upstream, and writes it again after `time`.
    void lapseRecord(std::size_t vm, Duration time)
    {
        if (!m_hasRecord[vm])
            return;
        m_hasRecord[vm] = false;
        forEachNode([&](Node& node) {
            node.state.directory.remove(recordOf(vm).instance, std::nullopt, m_clock.now());
            node.hop.refreshUpstream(m_clock.now());
        });
        m_clock.after(time, [this, vm] { writeRecord(vm); });
    }

    /// Closes the connections to the upstream and refuses new ones for `time`.
    void restartUpstream(std::size_t vm, Duration time)
    {
        upstreams[vm].setDown(true);
        if (m_nodes[vm])
            m_nodes[vm]->pool->endAll();
        m_clock.after(time, [this, vm] { upstreams[vm].setDown(false); });
    }

    /// How often upstreams have begun to run a request.
    int runsOf(const std::string& id) const
    {
        int runs = 0;
        for (const ModelledUpstream& upstream : upstreams) {
            const auto found = upstream.runs().find(id);
            runs += found == upstream.runs().end() ? 0 : found->second;
        }
        return runs;
    }

    bool isAlive(std::size_t vm, std::uint64_t process) const
    {
        return m_nodes[vm] && m_nodes[vm]->origin.incarnation == process;
    }

    std::size_t openCount() const
    {
        std::size_t open = 0;
        for (const auto& node : m_nodes)
            open += node ? node->entry.openCount() + node->hop.openCount() : 0;
        return open;
    }

    RandomSource random;
    std::array<ModelledUpstream, vmCount> upstreams;
    std::map<std::string, CallerRequest> requests; // by id

private:
    static constexpr Duration silenceTimeout = 1600ms;
    static constexpr Duration incomingSilenceTimeout = 2 * silenceTimeout;
    static constexpr std::uint32_t slots = 6;

    /// From an entry node to the node of an upstream.
    struct Link {
        bool isUp { false }; // for the entry node
        std::uint64_t generation { 0 }; // counts the connections
        std::uint64_t process { 0 }; // incarnation of the process that it leads to
        Instant requestsUntil; // when the last frame of each direction arrives
        Instant responsesUntil;
    };
    struct IncomingLink {
        HopOrigin origin;
        std::uint64_t generation { 0 };
    };

    struct Node : NodeTransport {
        Node(ModelledFleet& owner, std::size_t index, std::uint64_t incarnation)
            : fleet(owner)
            , vm(index)
            , origin { vmId(index), incarnation }
            , state(owner.m_io, settingsOf(index), owner.m_adapter, incarnation)
            , pool(std::make_shared<ModelledUpstream::Pool>(owner.upstreams[index]))
            , hop(state, *pool,
                  [this](
                      const HopOrigin& to, HopResponse response) { return reply(to, std::move(response)); })
            , entry(state, *this, incarnation)
            , tokenServer(state)
        {
            state.clock = [this] { return fleet.m_clock.now(); };
            state.config = fleet.m_config;
            const Instant now = state.now();
            for (std::size_t other = 0; other < vmCount; ++other) {
                if (fleet.m_hasRecord[other])
                    state.directory.put(recordOf(other), { 0, ++fleet.m_revision }, now);
            }
            hop.refreshUpstream(now);
            state.timers.every(now, gatePeriod, [this](Instant at) { hop.tick(at); });
        }

        bool canReach(const VmId& to) const override { return processAt(to).has_value(); }
        std::optional<std::uint64_t> processAt(const VmId& to) const override
        {
            const Link& link = fleet.m_links[vm][indexOf(to)];
            if (to == origin.vm)
                return origin.incarnation;
            return link.isUp ? std::optional(link.process) : std::nullopt;
        }
        bool sendRequest(const VmId& to, HopRequest request) override
        {
            return send(to, [from = origin, request = std::move(request)](Node& node) mutable {
                node.hop.request(from, std::move(request));
            });
        }
        void sendCancel(const VmId& to, std::uint64_t number) override
        {
            send(to, [from = origin, number](Node& node) { node.hop.cancel(from, number); });
        }
        void sendResume(const VmId& to, const HopResume& resume) override
        {
            send(to, [from = origin, resume](Node& node) {
                node.hop.resume(from, resume.numbers, resume.process == node.origin.incarnation);
            });
        }
        bool requestTokens(const VmId& owner, const TokenRequest& request) override
        {
            return send(owner, [&world = fleet, from = origin, request](Node& node) {
                const TokenResponse response = node.tokenServer.grant(request);
                if (from == node.origin)
                    return node.entry.onTokenResponse(response);
                world.respond(
                    node, from, [response](Node& entryNode) { entryNode.entry.onTokenResponse(response); });
            });
        }

        bool send(const VmId& to, std::function<void(Node&)> frame)
        {
            if (to != origin.vm)
                return fleet.send(vm, indexOf(to), std::move(frame));
            frame(*this);
            return true;
        }
        bool reply(const HopOrigin& to, HopResponse response)
        {
            if (to == origin) {
                entry.onResponse(origin.vm, std::move(response));
                return true;
            }
            return fleet.respond(*this, to, [from = origin.vm, response = std::move(response)](Node& node) {
                node.entry.onResponse(from, response);
            });
        }

        ModelledFleet& fleet;
        const std::size_t vm;
        const HopOrigin origin;
        SidecarState state;
        std::shared_ptr<ModelledUpstream::Pool> pool;
        HopService hop;
        EntryService entry;
        TokenServer tokenServer;
        std::map<std::size_t, IncomingLink> incoming; // by VM of the entry node
    };

    static VmId vmId(std::size_t vm) { return { "10.0.0." + std::to_string(vm + 1) }; }
    static std::size_t indexOf(const VmId& vm) { return static_cast<std::size_t>(vm.text.back() - '1'); }

    static UpstreamRecord recordOf(std::size_t vm)
    {
        UpstreamRecord record = makeUpstreamRecord("i-" + std::to_string(vm), vmId(vm).text);
        record.slots = slots;
        return record;
    }

    static SidecarSettings settingsOf(std::size_t vm)
    {
        SidecarSettings settings = makeSidecarSettings();
        settings.vm = vmId(vm);
        settings.upstreamAddress = recordOf(vm).address;
        settings.extraRepeats = 10'000; // the retry budget ends no request here
        return settings;
    }

    static std::shared_ptr<const ServingIndex> makeConfig()
    {
        ServingConfig config = makeServingConfig();
        config.routes.push_back(makeRoute("call", "registry", false)); // without a key: made by an upstream
        config.routes.back().isPublic = true;
        for (RouteConfig& route : config.routes) {
            route.timeout = 8s;
            route.targetLatency = 2s;
        }
        config.teams[0].plan = { 30, 8 };
        return std::make_shared<const ServingIndex>(config);
    }

    Duration randomTime(Duration bound)
    {
        return std::chrono::milliseconds(1 + random.below(static_cast<std::uint64_t>(toMilliseconds(bound))));
    }

    template <typename Action> void forEachNode(Action&& action)
    {
        for (const auto& node : m_nodes) {
            if (node)
                action(*node);
        }
    }

    void startProcess(std::size_t vm)
    {
        m_nodes[vm] = std::make_unique<Node>(*this, vm, random() | 1);
        for (std::size_t other = 0; other < vmCount; ++other)
            openLater(vm, other);
    }

    void writeRecord(std::size_t vm)
    {
        m_hasRecord[vm] = true;
        forEachNode([&](Node& node) {
            node.state.directory.put(recordOf(vm), { 0, ++m_revision }, m_clock.now());
            node.hop.refreshUpstream(m_clock.now());
        });
    }

    /// When a frame arrives that is sent now.
    Instant arrivalAt(std::size_t from, std::size_t to)
    {
        return std::max({ m_clock.now(), m_pausedUntil[from], m_pausedUntil[to] }) + randomTime(5ms);
    }

    bool send(std::size_t from, std::size_t to, std::function<void(Node&)> frame)
    {
        Link& link = m_links[from][to];
        if (!link.isUp)
            return false;
        link.requestsUntil = std::max(link.requestsUntil, arrivalAt(from, to));
        m_clock.after(link.requestsUntil - m_clock.now(),
            [this, from, to, generation = link.generation, frame = std::move(frame)] {
                Node* node = m_nodes[to].get();
                if (node && node->incoming.contains(from) && node->incoming[from].generation == generation)
                    frame(*node);
            });
        return true;
    }

    bool respond(const Node& node, const HopOrigin& to, std::function<void(Node&)> frame)
    {
        const std::size_t target = indexOf(to.vm);
        const auto found = node.incoming.find(target);
        if (found == node.incoming.end() || found->second.origin != to)
            return false;
        Link& link = m_links[target][node.vm];
        link.responsesUntil = std::max(link.responsesUntil, arrivalAt(node.vm, target));
        m_clock.after(link.responsesUntil - m_clock.now(),
            [this, target, to, from = node.vm, generation = found->second.generation,
                frame = std::move(frame)] {
                const Link& used = m_links[target][from];
                if (isAlive(target, to.incarnation) && used.isUp && used.generation == generation)
                    frame(*m_nodes[target]);
            });
        return true;
    }

    void dropIncoming(std::size_t vm, std::size_t from, std::uint64_t generation, bool processEnded)
    {
        Node* node = m_nodes[vm].get();
        if (!node || !node->incoming.contains(from) || node->incoming[from].generation != generation)
            return;
        const HopOrigin origin = node->incoming[from].origin;
        node->incoming.erase(from);
        node->hop.originLost(origin, processEnded);
    }

    void openLater(std::size_t from, std::size_t to, std::optional<Duration> delay = {})
    {
        if (from != to && m_nodes[from])
            m_clock.after(delay ? *delay : randomTime(random.below(3) == 0 ? 3000ms : 100ms),
                [this, from, to, process = m_nodes[from]->origin.incarnation] {
                    if (isAlive(from, process))
                        open(from, to);
                });
    }

    /// Sends the hello. Where it can't be sent, or a frame of the two hellos is lost, tries again later.
    void open(std::size_t from, std::size_t to)
    {
        Link& link = m_links[from][to];
        if (link.isUp)
            return;
        const bool isPeer = m_hasRecord[to] || m_nodes[from]->entry.awaitedVms().contains(vmId(to));
        if (!m_nodes[to] || !isPeer)
            return openLater(from, to);
        const std::uint64_t generation = ++link.generation;
        const HopOrigin origin = m_nodes[from]->origin;
        const std::uint64_t process = m_nodes[to]->origin.incarnation;
        link.requestsUntil = arrivalAt(from, to);
        m_clock.after(link.requestsUntil - m_clock.now(), [this, from, to, generation, origin, process] {
            if (!isAlive(from, origin.incarnation) || m_links[from][to].generation != generation)
                return;
            if (!isAlive(to, process))
                return openLater(from, to);
            auto& incoming = m_nodes[to]->incoming;
            if (const auto old = incoming.find(from); old != incoming.end()) {
                const IncomingLink dropped = old->second;
                dropIncoming(to, from, dropped.generation, dropped.origin.incarnation != origin.incarnation);
            }
            incoming[from] = { origin, generation };
            m_links[from][to].responsesUntil = arrivalAt(to, from);
            m_clock.after(m_links[from][to].responsesUntil - m_clock.now(),
                [this, from, to, generation, origin, process] {
                    Link& opened = m_links[from][to];
                    if (!isAlive(from, origin.incarnation) || opened.generation != generation)
                        return;
                    if (!isAlive(to, process))
                        return openLater(from, to);
                    opened.isUp = true;
                    opened.process = process;
                    m_nodes[from]->entry.onLinkUp(vmId(to), process);
                });
        });
    }

    boost::asio::io_context m_io;
    SimplePlatformAdapter m_adapter;
    SimulationClock m_clock;
    std::shared_ptr<const ServingIndex> m_config { makeConfig() };
    std::array<std::unique_ptr<Node>, vmCount> m_nodes;
    std::array<std::array<Link, vmCount>, vmCount> m_links;
    std::array<Instant, vmCount> m_pausedUntil {};
    std::array<bool, vmCount> m_hasRecord {};
    std::uint64_t m_revision { 0 };
};

} // namespace Ebonystack::Testing
