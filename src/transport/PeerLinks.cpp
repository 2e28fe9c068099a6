// Opens, accepts and monitors links, and dispatches their frames.
#include "transport/PeerLinks.h"

#include "transport/ByteStream.h"
#include "transport/LinkInput.h"
#include "transport/SystemClock.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration connectTimeout = 700ms;
/// Interval between heartbeats on one link. It grows with the number of peers, so that the number of
/// heartbeats that a node sends per second stays about the same.
constexpr Duration minHeartbeatPeriod = 500ms;
constexpr Duration heartbeatPeriodPerPeer = 7ms;
/// An outgoing link is closed after nothing was received for this time plus one heartbeat period.
constexpr Duration silenceTimeout = 1100ms;
/// Exponential backoff before a lost link is reopened.
constexpr Duration initialBackoff = 100ms;
constexpr Duration maxBackoff = 800ms;
/// Limit on a frame from a node that has not introduced itself yet.
constexpr std::size_t maxHelloBytes = 4096;
/// How long a link is not read while there is no memory for a response on it. Below the time after which a
/// link counts as silent.
constexpr Duration maxReadingPause = 300ms;

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

void writeFrame(ByteStream& stream, const EncodedFrame& frame)
{
    stream.write(frame.before);
    stream.writeBody(frame.body);
    stream.write(frame.after);
}

} // namespace

class PeerLinks::Internals : public std::enable_shared_from_this<Internals> {
public:
    /// A link that this node opens.
    struct OutgoingLink {
        explicit OutgoingLink(MemoryAdmission& admission)
            : input(admission)
        {
        }

        VmId vm;
        std::shared_ptr<ByteStream> stream;
        LinkInput input;
        bool up { false }; // the peer has responded to the hello
        std::uint64_t peerFrameLimit { maxFrameBytes }; // by the peer's hello
        std::optional<Instant> pausedAt; // since then there is no memory for the next frame, a response
        bool connecting { false };
        bool requested { true };
        std::uint64_t peerIncarnation { 0 }; // of the last process that responded; 0: none yet
        Instant lastReceivedAt;
        Instant lastHeartbeatAt; // when the last heartbeat was sent
        Instant retryAt;
        Duration backoff { initialBackoff };
    };
    using OutgoingLinkPtr = std::shared_ptr<OutgoingLink>;

    /// A link that another node has opened.
    struct IncomingLink {
        explicit IncomingLink(MemoryAdmission& admission)
            : input(admission)
        {
        }

        std::shared_ptr<ByteStream> stream;
        LinkInput input;
        std::optional<HopOrigin> origin; // after the hello
        std::uint64_t replyEnd { 0 }; // position in the stream of the end of the last reply; 0: acknowledged
        Instant lastReceivedAt;
    };
    using IncomingLinkPtr = std::shared_ptr<IncomingLink>;

    Internals(boost::asio::io_context& context, DecisionLog& decisions, PeerEvents& peerEvents,
        const LinkHello& hello, std::uint16_t peerPort, MemoryAdmission& memoryAdmission)
        : io(context)
        , log(decisions)
        , events(peerEvents)
        , localHello { hello.vm, hello.incarnation, std::min(memoryAdmission.limit(), maxFrameBytes) }
        , port(peerPort)
        , admission(memoryAdmission)
    {
    }

    Duration heartbeatPeriod() const
    {
        return std::max(
            minHeartbeatPeriod, heartbeatPeriodPerPeer * static_cast<Duration::rep>(outgoing.size()));
    }

    // Links that this node opens.

    void open(const OutgoingLinkPtr& link)
    {
        link->connecting = true;
        connectStream(io, link->vm.text + ':' + std::to_string(port), PeerLocation::OtherVm, connectTimeout,
            [weak = weak_from_this(), link](std::shared_ptr<ByteStream> stream) {
                const auto self = weak.lock();
                if (!self)
                    return;
                link->connecting = false;
                if (!stream || !link->requested)
                    return self->scheduleRetry(link);
                self->onConnected(link, std::move(stream));
            });
    }

    void scheduleRetry(const OutgoingLinkPtr& link)
    {
        link->retryAt = monotonicNow() + link->backoff;
        link->backoff = std::min(maxBackoff, link->backoff * 2);
    }

    void onConnected(const OutgoingLinkPtr& link, std::shared_ptr<ByteStream> stream)
    {
        link->stream = std::move(stream);
        link->input.clear();
        link->pausedAt.reset();
        link->lastReceivedAt = monotonicNow();
        startCurrentStream(weak_from_this(), link, &Internals::onOutgoingBytes,
            [](Internals& links, const OutgoingLinkPtr& lost, StreamEnd) {
                links.disconnect(lost, "closed by the other side");
            });
        link->stream->write(encodeFrame(localHello));
    }

    void onOutgoingBytes(const OutgoingLinkPtr& link, std::string_view bytes)
    {
        link->lastReceivedAt = monotonicNow();
        link->input.append(bytes);
        readOutgoing(link);
    }

    void readOutgoing(const OutgoingLinkPtr& link)
    {
        const auto stream = link->stream;
        while (link->stream == stream) {
            auto next = link->input.next(link->up ? localHello.frameLimit : maxHelloBytes);
            if (auto* frame = std::get_if<PeerFrame>(&next)) {
                endPause(link);
                onOutgoingFrame(link, std::move(*frame));
            } else if (const auto* invalid = std::get_if<LinkInput::Invalid>(&next))
                return disconnect(link, invalid->problem);
            else if (const auto* refused = std::get_if<LinkInput::Refused>(&next)) {
                if (!onFrameRefused(link, *refused))
                    return;
            } else
                return;
        }
    }

    /// There is no memory for the next frame. Pauses the link, which holds up other responses on it; after
    /// `maxReadingPause` gives the response up. Returns whether reading goes on.
    bool onFrameRefused(const OutgoingLinkPtr& link, const LinkInput::Refused& refused)
    {
        if (!refused.start || !isHopResponse(*refused.start)) {
            disconnect(link, "no memory for a frame");
            return false;
        }
        const Instant now = monotonicNow();
        if (!link->pausedAt)
            link->pausedAt = now;
        if (now - *link->pausedAt < maxReadingPause) {
            link->stream->pauseReading();
            return false;
        }
        endPause(link);
        admission.recordRefusal(MemoryUse::Response);
        link->input.skip();
        log.failure("no memory for a response", "", now, [&] {
            return nlohmann::json { { "vm", link->vm.text },
                { "heldBytes", admission.budget().heldBytes() } };
        });
        events.onResponseDiscarded(link->vm, *refused.start->number);
        return true;
    }

    /// The bytes that arrived during the pause are read next: the peer wasn't silent.
    static void endPause(const OutgoingLinkPtr& link)
    {
        if (!link->pausedAt)
            return;
        link->pausedAt.reset();
        link->lastReceivedAt = monotonicNow();
        link->stream->resumeReading();
    }

    /// Reads on if there is memory by now, or the pause has lasted long enough.
    void retryPaused(const OutgoingLinkPtr& link)
    {
        if (!link->pausedAt)
            return;
        readOutgoing(link);
        if (link->stream && !link->input.isRefused())
            endPause(link);
    }

    void onOutgoingFrame(const OutgoingLinkPtr& link, PeerFrame frame)
    {
        std::visit(Overloaded { [&](LinkHello& hello) { onHelloResponse(link, hello); },
                       [&](LinkHeartbeat& heartbeat) { events.onHeartbeat(link->vm, heartbeat); },
                       [&](HopResponse& response) { events.onResponse(link->vm, std::move(response)); },
                       [&](StoreChangesResponse& response) { events.onStoreChanges(response); },
                       [&](TokenResponse& response) { events.onTokenResponse(response); },
                       [&](auto&) {
                           disconnect(link,
                               "received a frame type that only the node that opened the link may send");
                       } },
            frame);
    }

    void onHelloResponse(const OutgoingLinkPtr& link, const LinkHello& hello)
    {
        const bool sameProcess = link->peerIncarnation == hello.incarnation;
        link->peerIncarnation = hello.incarnation;
        link->peerFrameLimit = hello.frameLimit;
        link->up = true;
        link->backoff = initialBackoff;
        log.state("link up", monotonicNow(), [&] {
            return nlohmann::json { { "vm", link->vm.text }, { "sameProcess", sameProcess },
                { "incarnation", hello.incarnation } };
        });
        events.onLinkUp(link->vm, hello.incarnation);
        sendHeartbeat(link, monotonicNow());
    }

    void disconnect(const OutgoingLinkPtr& link, const std::string& reason)
    {
        if (link->stream)
            link->stream->close();
        link->stream.reset();
        link->input.clear();
        link->pausedAt.reset();
        scheduleRetry(link);
        if (!std::exchange(link->up, false))
            return;
        log.state("link down", monotonicNow(), [&] {
            return nlohmann::json { { "vm", link->vm.text }, { "reason", reason } };
        });
        events.onLinkDown(link->vm);
    }

    void sendHeartbeat(const OutgoingLinkPtr& link, Instant now)
    {
        link->lastHeartbeatAt = now;
        link->stream->write(encodeFrame(events.localHeartbeat()));
    }

    void tickOutgoing(Instant now)
    {
        const Duration period = heartbeatPeriod();
        const auto links = outgoing; // a copy: closing a link may change the table
        for (const auto& [vm, link] : links) {
            if (link->stream)
                retryPaused(link);
            if (link->stream && !link->pausedAt && now - link->lastReceivedAt > period + silenceTimeout)
                disconnect(link, "silent");
            else if (link->up && now - link->lastHeartbeatAt >= period)
                sendHeartbeat(link, now);
            if (!link->stream && !link->connecting && link->requested && now >= link->retryAt)
                open(link);
            if (!link->requested && !link->up && !link->connecting) {
                if (link->stream)
                    link->stream->close();
                outgoing.erase(vm);
            }
        }
    }

    // Links that other nodes open.

    void onIncomingBytes(const IncomingLinkPtr& link, std::string_view bytes)
    {
        link->lastReceivedAt = monotonicNow();
        link->input.append(bytes);
        while (incoming.contains(link)) {
            auto next = link->input.next(link->origin ? localHello.frameLimit : maxHelloBytes);
            const auto* refused = std::get_if<LinkInput::Refused>(&next);
            if (auto* frame = std::get_if<PeerFrame>(&next))
                onIncomingFrame(link, std::move(*frame));
            else if (refused && refused->start && isHopRequest(*refused->start)) {
                admission.recordRefusal(MemoryUse::PeerRequest);
                link->input.skip();
                events.onRequestRefused(*link->origin, *refused->start->number);
            } else if (std::holds_alternative<LinkInput::Incomplete>(next))
                return;
            else
                return drop(link, false);
        }
    }

    void onIncomingFrame(const IncomingLinkPtr& link, PeerFrame frame)
    {
        if (!link->origin) {
            if (const auto* hello = std::get_if<LinkHello>(&frame))
                onHello(link, *hello);
            else
                drop(link, false);
            return;
        }
        const HopOrigin origin = *link->origin;
        std::visit(
            Overloaded { [&](LinkHeartbeat& heartbeat) {
                            link->stream->write(encodeFrame(events.localHeartbeat()));
                            events.onHeartbeat(origin.vm, heartbeat);
                        },
                [&](HopRequest& request) { events.onRequest(origin, std::move(request)); },
                [&](HopCancel& cancel) { events.onCancel(origin, cancel.number); },
                [&](HopResume& resume) { events.onResume(origin, resume); },
                [&](StoreChangesRequest& request) {
                    link->stream->write(encodeFrame(events.storeChanges(request)));
                },
                [&](StoreChangesPush& push) { events.onStoreChangesPush(origin.vm, push); },
                [&](TokenRequest& request) { link->stream->write(encodeFrame(events.grantTokens(request))); },
                [&](auto&) { drop(link, false); } },
            frame);
    }

    void onHello(const IncomingLinkPtr& link, const LinkHello& hello)
    {
        const HopOrigin origin { hello.vm, hello.incarnation };
        const auto links = incoming;
        for (const IncomingLinkPtr& each : links) {
            if (each != link && each->origin && each->origin->vm == origin.vm)
                drop(each, each->origin->incarnation != origin.incarnation);
        }
        link->origin = origin;
        link->stream->write(encodeFrame(localHello));
    }

    void drop(const IncomingLinkPtr& link, bool processEnded)
    {
        if (incoming.erase(link) == 0)
            return;
        link->input.clear();
        link->stream->close();
        if (link->origin)
            events.onOriginLost(*link->origin, processEnded);
    }

    void tickIncoming(Instant now)
    {
        const Duration limit = 2 * (heartbeatPeriod() + silenceTimeout);
        const auto links = incoming;
        for (const IncomingLinkPtr& link : links) {
            if (now - link->lastReceivedAt > limit)
                drop(link, false);
        }
    }

    IncomingLinkPtr findIncoming(const HopOrigin& origin) const
    {
        const auto found = std::ranges::find_if(
            incoming, [&](const IncomingLinkPtr& link) { return link->origin && *link->origin == origin; });
        return found == incoming.end() ? nullptr : *found;
    }

    boost::asio::io_context& io;
    DecisionLog& log;
    PeerEvents& events;
    const LinkHello localHello;
    const std::uint16_t port;
    MemoryAdmission& admission;
    std::map<VmId, OutgoingLinkPtr> outgoing;
    std::set<IncomingLinkPtr> incoming;
};

PeerLinks::PeerLinks(boost::asio::io_context& io, DecisionLog& log, PeerEvents& events,
    const LinkHello& localHello, std::uint16_t port, MemoryAdmission& admission)
    : m_internals(std::make_shared<Internals>(io, log, events, localHello, port, admission))
{
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::accept(boost::asio::ip::tcp::socket socket)
{
    auto link = std::make_shared<Internals::IncomingLink>(m_internals->admission);
    link->stream = std::make_shared<ByteStream>(std::move(socket), PeerLocation::OtherVm);
    link->lastReceivedAt = monotonicNow();
    m_internals->incoming.insert(link);
    startStream(*link->stream, std::weak_ptr<Internals>(m_internals),
        std::weak_ptr<Internals::IncomingLink>(link), &Internals::onIncomingBytes,
        [](Internals& links, const Internals::IncomingLinkPtr& lost, StreamEnd) { links.drop(lost, false); });
}

void PeerLinks::setPeers(const std::vector<VmId>& vms)
{
    for (auto& [vm, link] : m_internals->outgoing)
        link->requested = false;
    for (const VmId& vm : vms) {
        Internals::OutgoingLinkPtr& link = m_internals->outgoing[vm];
        if (!link) {
            link = std::make_shared<Internals::OutgoingLink>(m_internals->admission);
            link->vm = vm;
        }
        link->requested = true;
    }
}

void PeerLinks::tick(Instant now)
{
    m_internals->tickOutgoing(now);
    m_internals->tickIncoming(now);
}

void PeerLinks::sendHeartbeats(Instant now)
{
    for (const auto& [vm, link] : m_internals->outgoing) {
        if (link->up)
            m_internals->sendHeartbeat(link, now);
    }
}

bool PeerLinks::isUp(const VmId& vm) const { return processAt(vm).has_value(); }

std::optional<std::uint64_t> PeerLinks::processAt(const VmId& vm) const
{
    const auto found = m_internals->outgoing.find(vm);
    const bool up = found != m_internals->outgoing.end() && found->second->up;
    return up ? std::optional(found->second->peerIncarnation) : std::nullopt;
}

std::size_t PeerLinks::upCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_internals->outgoing, [](const auto& item) { return item.second->up; }));
}

bool PeerLinks::send(const VmId& vm, const PeerFrame& frame)
{
    const auto found = m_internals->outgoing.find(vm);
    if (found == m_internals->outgoing.end() || !found->second->up)
        return false;
    const EncodedFrame encoded = encodeFrameParts(frame);
    if (encoded.size() > found->second->peerFrameLimit)
        return false;
    writeFrame(*found->second->stream, encoded);
    return true;
}

void PeerLinks::sendToAll(const std::vector<VmId>& vms, const PeerFrame& frame)
{
    const std::string bytes = encodeFrame(frame);
    for (const VmId& vm : vms) {
        const auto found = m_internals->outgoing.find(vm);
        if (found != m_internals->outgoing.end() && found->second->up)
            found->second->stream->write(bytes);
    }
}

bool PeerLinks::reply(const HopOrigin& origin, const PeerFrame& frame)
{
    const auto link = m_internals->findIncoming(origin);
    if (!link)
        return false;
    writeFrame(*link->stream, encodeFrameParts(frame));
    link->replyEnd = link->stream->written();
    return true;
}

bool PeerLinks::hasUnacknowledgedReplies()
{
    return std::ranges::any_of(m_internals->incoming, [](const Internals::IncomingLinkPtr& link) {
        if (link->replyEnd > 0 && link->stream->isAcknowledged(link->replyEnd))
            link->replyEnd = 0;
        return link->replyEnd > 0;
    });
}

} // namespace Ebonystack
