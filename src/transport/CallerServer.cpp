// Reads requests and writes responses, one state object per connection; enforces limits on connections,
// memory and time.
#include "transport/CallerServer.h"

#include "coordination/CallerEviction.h"
#include "transport/CallerDeadline.h"
#include "transport/CallerRequestMemory.h"
#include "transport/SystemClock.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Added to the configured timeouts, so that a request sent just before the idle timeout finds the connection
/// open.
constexpr Duration idleTimeoutMargin = 500ms;
/// A caller is disconnected if it sends no byte of its body for this time, or if it does not read its
/// response within this time or until its deadline, whichever is later.
constexpr Duration stallTimeout = 10s;
/// A caller that does not have its response after this time is a slow reader.
constexpr Duration slowReaderTime = 1s;
/// Bytes that a caller may send before it has received the response to its request.
constexpr std::size_t maxPipelinedBytes = 1 << 20;
/// A larger input buffer is freed once its bytes are used, since a node has many connections.
constexpr std::size_t maxRetainedInputBytes = 4 << 10;
/// The tick ends connections that close after their response was read, and counts them; their own limit comes
/// later.
constexpr Duration closeLimitMargin = 1s;
/// Share of the process's file descriptors; the rest is for the upstream, links and listeners.
constexpr double callerDescriptorShare = 0.6;
/// The next request on a connection is read when no more than this is left to be sent on it.
constexpr std::size_t maxUnsentBeforeNext = 16 << 10;
/// How often long requests that wait for memory ask for it.
constexpr Duration memoryRetryPeriod = 20ms;

} // namespace

class CallerServer::Internals : public std::enable_shared_from_this<Internals> {
public:
    using Connection = CallerConnection;
    using ConnectionPtr = CallerConnectionPtr;

    Internals(SidecarState& shared, EntryService& service)
        : state(shared)
        , entry(service)
        , requestMemory(shared)
        , unreadBudget(SidecarState::messageMemory(shared.settings))
    {
    }

    /// Adds a new connection. At the limit, closes the one that is used least, or the new one if all are in
    /// use.
    void addConnection(const ConnectionPtr& connection)
    {
        forgetClosed();
        if (connections.size() + closing.size() >= maxConnections()) {
            const ConnectionPtr leastUsed = leastUsedConnection();
            state.log.failure("too many connections of callers", "", monotonicNow(), [&] {
                return nlohmann::json { { "connections", connections.size() }, { "closing", closing.size() },
                    { "closed", leastUsed ? "the least used connection" : "the new connection" } };
            });
            if (!leastUsed)
                return connection->stream->close();
            drop(leastUsed);
        }
        connections.insert(connection);
        startStream(*connection->stream, weak_from_this(), std::weak_ptr<Connection>(connection),
            &Internals::onBytes, &Internals::onEnd);
    }

    void forgetClosed()
    {
        std::erase_if(closing, [](const ConnectionPtr& connection) { return !connection->stream->isOpen(); });
    }

    std::size_t maxConnections() const
    {
        return static_cast<std::size_t>(state.settings.descriptors * callerDescriptorShare);
    }

    static bool isIdle(const Connection& connection)
    {
        return !connection.serving && !connection.parser && !isBeingRead(connection);
    }

    /// Whether the caller's system does not have the whole last response yet.
    static bool isBeingRead(const Connection& connection)
    {
        return connection.awaitsAcknowledgement && !connection.stream->isAcknowledged(connection.responseEnd);
    }

    std::vector<ConnectionPtr> openConnections() const
    {
        std::vector<ConnectionPtr> all(connections.begin(), connections.end());
        all.insert(all.end(), closing.begin(), closing.end());
        return all;
    }

    static CallerActivity activityOf(const Connection& connection, Instant now)
    {
        const double age = toSeconds(now - connection.phaseStartedAt);
        if (connection.serving || connection.requests.waitId != 0)
            return { CallerPhase::Serving, age };
        if (connection.parser)
            return { CallerPhase::Receiving, age, connection.requests.received(),
                connection.requests.reclaimable() };
        if (!isBeingRead(connection))
            return { connection.isClosing ? CallerPhase::Closing : CallerPhase::Idle, age };
        const std::size_t unread = connection.stream->unacknowledged();
        return { CallerPhase::Sending, toSeconds(now - connection.respondedAt),
            connection.responseBytes - std::min(unread, connection.responseBytes),
            connection.stream->unsent() };
    }

    static std::vector<CallerActivity> activitiesOf(const std::vector<ConnectionPtr>& all)
    {
        std::vector<CallerActivity> activities;
        activities.reserve(all.size());
        for (const ConnectionPtr& connection : all)
            activities.push_back(activityOf(*connection, monotonicNow()));
        return activities;
    }

    /// Returns null if all connections are in use.
    ConnectionPtr leastUsedConnection() const
    {
        const std::vector<ConnectionPtr> all = openConnections();
        const auto chosen = connectionToClose(activitiesOf(all));
        return chosen ? all[*chosen] : nullptr;
    }

    /// Refuses the requests that arrive the slowest, until `bytes` are freed.
    void refuseSlowest(std::size_t bytes)
    {
        const std::vector<ConnectionPtr> all = openConnections();
        for (const std::size_t i : slowestOf(activitiesOf(all), CallerPhase::Receiving, bytes))
            refuseForMemory(all[i]);
    }

    /// Likewise for a long request that waits, if that makes enough room.
    void makeRoomForWaiting()
    {
        const std::size_t lacking = requestMemory.longBytesLacking();
        if (lacking > 0 && heldBySlow(activitiesOf(openConnections()), CallerPhase::Receiving) >= lacking)
            refuseSlowest(lacking);
    }

    CallerLimits limits() const { return state.config ? state.config->config().limits : CallerLimits {}; }

    void onBytes(const ConnectionPtr& connection, std::string_view bytes)
    {
        connection->lastReceivedAt = monotonicNow();
        requestMemory.addReceived(*connection, bytes.size());
        if (mayReadNext(*connection))
            return readRequest(connection, bytes);
        connection->input.append(bytes);
        if (connection->input.size() > maxPipelinedBytes || requestMemory.isShortPartFull())
            drop(connection);
    }

    /// A caller that sends requests ahead reads their responses first.
    static bool mayReadNext(const Connection& connection)
    {
        return !connection.serving
            && (connection.parser || connection.stream->unsent() <= maxUnsentBeforeNext);
    }

    /// Reads from the connection's input and the bytes that have just arrived.
    void readRequest(const ConnectionPtr& connection, std::string_view arrived)
    {
        const bool hasBytes = !arrived.empty() || !connection->input.empty();
        if (!hasBytes || !mayReadNext(*connection) || !connections.contains(connection))
            return;
        if (!connection->parser) {
            const CallerLimits current = limits();
            connection->parser.emplace(current.headerBytes, current.bodyBytes);
            connection->sentContinue = false;
            connection->phaseStartedAt = monotonicNow();
        }
        feedParser(*connection, arrived);
        if (connection->parser->refusal())
            return refuse(connection, *connection->parser->refusal());
        if (connection->parser->done())
            return serve(connection);
        switch (requestMemory.check(connection, monotonicNow())) {
        case CallerRequestMemory::Verdict::Read:
            return sendContinue(*connection);
        case CallerRequestMemory::Verdict::Wait:
            return retryWaitingLater();
        case CallerRequestMemory::Verdict::Refuse:
            return refuseForMemory(connection);
        case CallerRequestMemory::Verdict::RefuseSlowest:
            refuseSlowest(requestMemory.shortBytesLacking());
            if (connections.contains(connection) && requestMemory.shortBytesLacking() > 0)
                refuseForMemory(connection);
        }
    }

    /// Only what the parser can't use yet is copied: a body is held once.
    static void feedParser(Connection& connection, std::string_view arrived)
    {
        std::string& input = connection.input;
        if (input.empty()) {
            const std::size_t used = connection.parser->feed(arrived);
            input.assign(arrived.substr(used));
        } else {
            input.append(arrived);
            input.erase(0, connection.parser->feed(input));
        }
        if (input.empty() && input.capacity() > maxRetainedInputBytes)
            input.shrink_to_fit();
    }

    static void sendContinue(Connection& connection)
    {
        if (connection.parser->expectsContinue() && !std::exchange(connection.sentContinue, true))
            connection.stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void refuseForMemory(const ConnectionPtr& connection)
    {
        state.memory.recordRefusal(MemoryUse::CallerRequest);
        refuse(connection, notRunRefusal(ResultCode::QueueFull, "the memory for requests is used up"));
    }

    void retryWaitingLater()
    {
        if (std::exchange(retriesWaiting, true))
            return;
        state.timers.at(monotonicNow() + memoryRetryPeriod, [weak = weak_from_this()](Instant now) {
            if (const auto self = weak.lock())
                self->retryWaiting(now);
        });
    }

    void retryWaiting(Instant now)
    {
        retriesWaiting = false;
        for (const ConnectionPtr& connection : requestMemory.expireWaiting(now))
            refuseForMemory(connection);
        for (const ConnectionPtr& connection : requestMemory.admitWaiting(now)) {
            if (connection->stream->hasPeerEnded()) {
                drop(connection); // not seen before, as the connection was not read
                continue;
            }
            connection->lastReceivedAt = now;
            sendContinue(*connection);
            connection->stream->resumeReading();
        }
        if (!requestMemory.hasWaiting())
            return;
        makeRoomForWaiting(); // for the next try
        retryWaitingLater();
    }

    void serve(const ConnectionPtr& connection)
    {
        HttpRequest request = connection->parser->take();
        connection->parser.reset();
        requestMemory.passOn(*connection, request.body, connection->input.size());
        connection->serving = true;
        connection->keepAlive = request.head.keepAlive;
        connection->isHeadRequest = request.head.method == "HEAD";
        const Duration readingTime = monotonicNow() - connection->phaseStartedAt;
        connection->callerDeadline = connection->phaseStartedAt
            + readCallerDeadline(request.head.fields, state.adapter.fieldNames().deadline)
                  .value_or(Duration::zero());
        const CallId call = entry.begin(
            std::move(request),
            [weak = weak_from_this(), weakConnection = std::weak_ptr<Connection>(connection)](
                HttpResponse response) {
                const auto self = weak.lock();
                const auto locked = weakConnection.lock();
                if (self && locked)
                    self->respond(locked, std::move(response));
            },
            readingTime);
        if (connection->serving)
            connection->call = call;
    }

    void respond(const ConnectionPtr& connection, HttpResponse response)
    {
        connection->serving = false;
        connection->call.reset();
        connection->phaseStartedAt = monotonicNow();
        requestMemory.release(*connection, connection->input.size());
        response.head.keepAlive = connection->keepAlive && !state.isLeaving();
        write(connection, response, connection->isHeadRequest);
        if (!response.head.keepAlive)
            return closeAfterWriting(connection);
        if (connection->input.empty())
            return;
        // Deferred to the next tick: reading the next request here would nest one call of the entry service
        // in another.
        state.timers.at(monotonicNow(), [weak = weak_from_this(), connection](Instant) {
            if (const auto self = weak.lock())
                self->readRequest(connection, {});
        });
    }

    void refuse(const ConnectionPtr& connection, const Refusal& refusal)
    {
        const ResultCodeInfo& info = describe(refusal.code);
        HttpResponse response;
        response.head.status = info.httpStatus;
        response.head.keepAlive = false;
        response.head.fields.add("Ebony-Result", std::to_string(static_cast<int>(refusal.code)));
        ++state.counters.refusals[std::string(info.name)];
        state.log.failure("request not accepted", "", monotonicNow(), [&] {
            return nlohmann::json { { "code", static_cast<int>(refusal.code) }, { "name", info.name },
                { "explanation", refusal.explanation } };
        });
        write(connection, response, false);
        closeAfterWriting(connection);
    }

    void write(const ConnectionPtr& connection, const HttpResponse& response, bool isHeadRequest)
    {
        const ResponseHead& head = response.head;
        connection->stream->write(writeResponseHead(head, response.body.size(), isHeadRequest));
        if (sendsBody(head, isHeadRequest))
            connection->stream->writeBody(response.body);
        connection->responseEnd = connection->stream->written();
        connection->responseBytes = response.body.size();
        connection->isResponseCounted = response.body.isCounted();
        connection->awaitsAcknowledgement = true;
        connection->respondedAt = monotonicNow();
        connection->isSlowReader = false;
        updateUnread(*connection, connection->stream->unsent());
    }

    static Instant readBy(const Connection& connection)
    {
        return std::max(connection.callerDeadline, connection.respondedAt + stallTimeout);
    }

    void updateUnread(Connection& connection, std::size_t bytes)
    {
        connection.unread.resize(bytes);
        if (!state.memory.budget().isExceeded() || std::exchange(endsSlowestReaders, true))
            return;
        // Deferred to the next tick: the entry service may be responding to the connection.
        state.timers.at(monotonicNow(), [weak = weak_from_this()](Instant) {
            if (const auto self = weak.lock())
                self->freeExceeded();
        });
    }

    void freeExceeded()
    {
        endsSlowestReaders = false;
        const MemoryBudget& budget = state.memory.budget();
        if (budget.isExceeded())
            endSlowestReaders(budget.heldBytes() - budget.limit());
    }

    /// Disconnects the callers that read the slowest, until `bytes` are freed.
    void endSlowestReaders(std::size_t bytes)
    {
        const std::vector<ConnectionPtr> all = openConnections();
        for (const std::size_t i : slowestOf(activitiesOf(all), CallerPhase::Sending, bytes))
            cutOff(all[i], "memory");
    }

    void updateReading(const ConnectionPtr& connection, Instant now)
    {
        if (!connection->awaitsAcknowledgement)
            return;
        connection->unsent.resize(connection->isResponseCounted ? 0 : connection->stream->unsent());
        updateUnread(*connection, connection->stream->unacknowledged());
        if (!isBeingRead(*connection)) {
            connection->awaitsAcknowledgement = false;
            connection->unread.resize(0);
            connection->unsent.resize(0);
            if (!connection->parser)
                connection->phaseStartedAt = now;
        } else if (now - connection->respondedAt > slowReaderTime
            && !std::exchange(connection->isSlowReader, true))
            ++state.counters.slowReaders;
    }

    void checkReading(const ConnectionPtr& connection, Instant now)
    {
        updateReading(connection, now);
        if (connection->awaitsAcknowledgement && now > readBy(*connection))
            cutOff(connection, "deadline");
    }

    void cutOff(const ConnectionPtr& connection, const std::string& cause)
    {
        ++state.counters.slowReadersCut[cause];
        state.log.failure("slow reader cut off", "", monotonicNow(), [&] {
            return nlohmann::json { { "cause", cause }, { "unreadBytes", connection->unread.bytes() },
                { "sinceMs", toMilliseconds(monotonicNow() - connection->respondedAt) } };
        });
        drop(connection);
    }

    void onEnd(const ConnectionPtr& connection, StreamEnd) { drop(connection); }

    /// Frees what the connection holds of requests that have no response.
    void discardRequests(Connection& connection)
    {
        connection.parser.reset();
        std::string().swap(connection.input); // an assignment would keep the buffer
        requestMemory.release(connection, 0);
    }

    /// From now on all received bytes are discarded.
    void closeAfterWriting(const ConnectionPtr& connection)
    {
        discardRequests(*connection);
        connections.erase(connection);
        connection->isClosing = true;
        closing.push_back(connection);
        connection->stream->closeAfterWriting(readBy(*connection) - monotonicNow() + closeLimitMargin);
    }

    void drop(const ConnectionPtr& connection)
    {
        discardRequests(*connection);
        connections.erase(connection);
        connection->unread.resize(0);
        connection->unsent.resize(0);
        connection->awaitsAcknowledgement = false;
        connection->stream->close();
        if (connection->call)
            entry.cancel(*connection->call);
        connection->call.reset();
    }

    SidecarState& state;
    EntryService& entry;
    std::set<ConnectionPtr> connections;
    // Connections that close after their last response is read, until they are closed. The process must not
    // end before that.
    std::vector<ConnectionPtr> closing;
    CallerRequestMemory requestMemory;
    bool retriesWaiting { false }; // scheduled
    MemoryBudget unreadBudget; // of responses that callers do not have
    bool endsSlowestReaders { false }; // scheduled
};

CallerServer::CallerServer(SidecarState& state, EntryService& entry)
    : m_internals(std::make_shared<Internals>(state, entry))
{
    // Not for requests of callers: a response that is ready comes before them.
    state.memory.addReclaim(MemoryUse::Response, [weak = std::weak_ptr(m_internals)](std::size_t bytes) {
        if (const auto internals = weak.lock())
            internals->endSlowestReaders(bytes);
    });
}

CallerServer::~CallerServer() = default;

void CallerServer::accept(boost::asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<Internals::Connection>(
        m_internals->unreadBudget, m_internals->state.memory.budget());
    connection->stream = std::make_shared<ByteStream>(std::move(socket), PeerLocation::SameVm);
    connection->phaseStartedAt = monotonicNow();
    m_internals->addConnection(connection);
}

void CallerServer::tick(Instant now)
{
    for (const auto& connection : m_internals->closing)
        m_internals->checkReading(connection, now);
    m_internals->forgetClosed();
    const CallerLimits limits = m_internals->limits();
    const auto connections = m_internals->connections;
    for (const auto& connection : connections) {
        m_internals->checkReading(connection, now);
        if (connection->serving || !m_internals->connections.contains(connection))
            continue;
        if (!connection->parser && !connection->input.empty()) {
            m_internals->readRequest(connection, {});
            continue;
        }
        const bool reading = connection->parser.has_value();
        if (reading)
            m_internals->requestMemory.checkProgress(*connection, now);
        const bool writing = connection->awaitsAcknowledgement;
        const Duration age = now - connection->phaseStartedAt;
        const bool isIdleTooLong = !reading && !writing && age > limits.idleTimeout + idleTimeoutMargin;
        if (isIdleTooLong)
            m_internals->drop(connection);
        else if (reading && !connection->parser->headDone() && age > limits.headerTimeout + idleTimeoutMargin)
            m_internals->refuse(connection,
                notRunRefusal(
                    ResultCode::SenderTooSlow, "the header did not arrive before the header timeout"));
        else if (reading && CallerRequestMemory::isOverdue(*connection, now))
            m_internals->refuse(connection,
                notRunRefusal(
                    ResultCode::SenderTooSlow, "the body did not arrive before the request's deadline"));
        else if (reading && now - connection->lastReceivedAt > stallTimeout)
            m_internals->refuse(
                connection, notRunRefusal(ResultCode::SenderTooSlow, "no byte of the body arrived for 10 s"));
    }
}

std::size_t CallerServer::connectionCount() const { return m_internals->connections.size(); }

std::size_t CallerServer::busyCount() const
{
    const auto served = std::ranges::count_if(
        m_internals->connections, [](const auto& connection) { return !Internals::isIdle(*connection); });
    const auto closing = std::ranges::count_if(
        m_internals->closing, [](const auto& connection) { return Internals::isBeingRead(*connection); });
    return static_cast<std::size_t>(served + closing);
}

SlowReaders CallerServer::slowReaders() const
{
    const auto isSlow = [](const auto& connection) {
        return connection->awaitsAcknowledgement && connection->isSlowReader;
    };
    return { static_cast<std::size_t>(std::ranges::count_if(m_internals->connections, isSlow)
                 + std::ranges::count_if(m_internals->closing, isSlow)),
        m_internals->unreadBudget.heldBytes() };
}

void CallerServer::closeIdle()
{
    const auto connections = m_internals->connections;
    for (const auto& connection : connections) {
        if (Internals::isIdle(*connection))
            m_internals->drop(connection);
    }
}

} // namespace Ebonystack
