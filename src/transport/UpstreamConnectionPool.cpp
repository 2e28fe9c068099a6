// Connection reuse, and the exchange of one request and its response on a connection.
#include "transport/UpstreamConnectionPool.h"

#include "coordination/CarriedRequests.h"
#include "transport/ByteStream.h"
#include "transport/SystemClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration connectTimeout = 500ms;
/// For upstreams whose responses have no Keep-Alive timeout.
constexpr Duration defaultKeepAliveTimeout = 4s;
/// Idle connections are closed this long before the upstream would close them.
constexpr Duration keepAliveMargin = 1500ms;
/// A non-idempotent request uses only connections that were idle for less, since it must not be sent again:
/// some upstreams drop idle connections early.
constexpr Duration maxIdleForNonIdempotent = 800ms;
/// Responses to other requests that are skipped on one connection before it is closed.
constexpr int maxStrayResponses = 2;
/// Interim responses (1xx) before the final one. An upstream that sends more is not going to respond.
constexpr int maxInterimResponses = 8;
/// Share of the memory for messages that one response may have.
constexpr double maxResponseShare = 0.25;
/// Shorter responses are read also when there is no memory left.
constexpr std::size_t minCountedBytes = minLongBodyBytes;
/// A response without a length gets memory in steps.
constexpr std::size_t memoryStepBytes = std::size_t { 64 } << 10;
/// How often responses that are not read ask for memory.
constexpr Duration retryPeriod = 10ms;

Duration keepAliveTimeoutOf(const HttpFields& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = fields.find("Keep-Alive");
    if (!value)
        return defaultKeepAliveTimeout;
    const auto at = value->find(parameter);
    int seconds = 0;
    if (at == std::string_view::npos
        || std::from_chars(value->data() + at + parameter.size(), value->data() + value->size(), seconds).ec
            != std::errc())
        return defaultKeepAliveTimeout;
    return std::chrono::seconds(seconds);
}

} // namespace

class UpstreamConnectionPool::Internals : public std::enable_shared_from_this<Internals> {
public:
    struct Connection {
        std::uint64_t number { 0 }; // since the start
        std::shared_ptr<ByteStream> stream;
        std::optional<ResponseParser> parser; // while an exchange is under way
        std::string input;
        UpstreamRequest request;
        Callback done;
        CarriedRequests carried; // also the one under way
        ExchangeId exchange { 0 }; // 0: idle
        Instant idleSince;
        Duration keepAliveTimeout { defaultKeepAliveTimeout };
        bool hasServedRequest { false }; // has carried a request to its end
        bool hasReceivedBytes { false }; // of the current exchange
        bool hadStrayResponse { false }; // of the current exchange
        int strayResponses { 0 };
        int interimResponses { 0 }; // of the current exchange
        std::size_t received { 0 }; // bytes of the current response
        std::shared_ptr<MemoryBudget::Reservation> memory; // of the current response, if it is counted
        bool isPaused { false }; // not read for want of memory
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Internals(boost::asio::io_context& context, std::string upstreamAddress, const FieldNames& names,
        MemoryAdmission& memoryAdmission)
        : io(context)
        , address(std::move(upstreamAddress))
        , fieldNames(names)
        , admission(memoryAdmission)
        , maxBodyBytes(static_cast<std::uint64_t>(static_cast<double>(admission.limit()) * maxResponseShare))
        , retryTimer(context)
    {
    }

    void begin(const ConnectionPtr& connection, ExchangeId exchange, UpstreamRequest request, Callback done)
    {
        connection->exchange = exchange;
        connection->carried.add(request.id);
        connection->request = std::move(request);
        connection->done = std::move(done);
        connection->hasReceivedBytes = false;
        connection->hadStrayResponse = false;
        connection->interimResponses = 0;
        connection->parser.emplace(connection->request.isHeadRequest, maxBodyBytes);
        active[exchange] = connection;
        connection->stream->write(std::exchange(connection->request.head, {}));
        connection->stream->writeBody(std::exchange(connection->request.body, {}));
    }

    void open(ExchangeId exchange, UpstreamRequest request, Callback done)
    {
        connecting.insert(exchange);
        connectStream(io, address, PeerLocation::SameVm, connectTimeout,
            [self = shared_from_this(), exchange, request = std::move(request), done = std::move(done)](
                std::shared_ptr<ByteStream> stream) mutable {
                if (self->connecting.erase(exchange) == 0)
                    return; // aborted
                if (!stream)
                    return done({ UpstreamResult::Kind::NotConnected, {}, true });
                auto connection = std::make_shared<Connection>();
                connection->number = ++self->opened;
                connection->stream = std::move(stream);
                self->listen(connection);
                self->begin(connection, exchange, std::move(request), std::move(done));
            });
    }

    void listen(const ConnectionPtr& connection)
    {
        connections.push_back(connection);
        startStream(*connection->stream, weak_from_this(), std::weak_ptr<Connection>(connection),
            &Internals::onBytes, &Internals::onEnd);
    }

    void onBytes(const ConnectionPtr& connection, std::string_view bytes)
    {
        if (connection->exchange == 0)
            return drop(connection); // no request is under way
        connection->input.append(bytes);
        connection->received += bytes.size();
        readResponse(connection);
        if (connection->exchange != 0 && !hasMemory(*connection))
            pause(connection);
    }

    /// Takes memory for what is known of the response. False if there is none.
    bool hasMemory(Connection& connection)
    {
        const std::size_t known
            = std::max<std::size_t>(connection.received, connection.parser->announcedBodyBytes().value_or(0));
        if (known < minCountedBytes)
            return true;
        const std::size_t counted = connection.memory ? connection.memory->bytes() : 0;
        if (known <= counted)
            return true;
        const std::size_t needed = (known + memoryStepBytes - 1) / memoryStepBytes * memoryStepBytes;
        if (!admission.admits(MemoryUse::Response, needed - counted))
            return false;
        if (!connection.memory)
            connection.memory = std::make_shared<MemoryBudget::Reservation>(admission.budget());
        connection.memory->resize(needed);
        return true;
    }

    void pause(const ConnectionPtr& connection)
    {
        connection->isPaused = true;
        connection->stream->pauseReading();
        admission.recordRefusal(MemoryUse::Response);
        if (pausedCount() == 1)
            retryLater();
    }

    std::size_t pausedCount() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(connections, [](const auto& connection) { return connection->isPaused; }));
    }

    void retryLater()
    {
        retryTimer.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(retryPeriod));
        retryTimer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = error ? nullptr : weak.lock();
            if (self)
                self->retryPaused();
        });
    }

    void retryPaused()
    {
        for (const ConnectionPtr& connection : connections) {
            if (connection->isPaused && hasMemory(*connection)) {
                connection->isPaused = false;
                connection->stream->resumeReading();
            }
        }
        if (pausedCount() > 0)
            retryLater();
    }

    void readResponse(const ConnectionPtr& connection)
    {
        connection->hasReceivedBytes = true;
        while (connection->exchange != 0 && !connection->input.empty()) {
            const std::size_t used = connection->parser->feed(connection->input);
            connection->input.erase(0, used);
            const auto status = connection->parser->status();
            const bool isInterim = status && isInterimStatus(*status);
            if (connection->parser->failed() || (status && !isInterim && !isFinalStatus(*status)))
                return finish(connection, UpstreamResult::Kind::Invalid, {}, false);
            if (!connection->parser->done())
                return;
            HttpResponse response = connection->parser->take();
            if (!isInterim && isForRequest(*connection, response))
                return onResponse(connection, std::move(response));
            if (!isInterim && !response.head.fields.find(fieldNames.requestId))
                return finish(connection, UpstreamResult::Kind::Invalid, {}, false);
            if (!isInterim) {
                connection->hadStrayResponse = true;
                ++strayResponses;
            }
            int& skipped = isInterim ? connection->interimResponses : connection->strayResponses;
            if (++skipped > (isInterim ? maxInterimResponses : maxStrayResponses))
                return finish(connection, UpstreamResult::Kind::Invalid, {}, false);
            connection->parser.emplace(connection->request.isHeadRequest, maxBodyBytes);
            connection->received = connection->input.size();
            connection->memory.reset();
        }
    }

    /// Whether the response names the request under way. One that names another is a late or second response
    /// to that; one that names none may be either.
    bool isForRequest(const Connection& connection, const HttpResponse& response) const
    {
        return response.head.fields.find(fieldNames.requestId) == connection.request.id;
    }

    void onResponse(const ConnectionPtr& connection, HttpResponse response)
    {
        connection->keepAliveTimeout = keepAliveTimeoutOf(response.head.fields);
        const bool reusable = response.head.keepAlive && connection->input.empty()
            && !connection->hadStrayResponse && !connection->carried.isFull()
            && connection->stream->unsent() == 0 && !connection->stream->hasFailed();
        finish(connection, UpstreamResult::Kind::Responded, std::move(response), reusable);
    }

    void onEnd(const ConnectionPtr& connection, StreamEnd how)
    {
        if (connection->exchange == 0)
            return drop(connection);
        if (how == StreamEnd::Closed && connection->parser->endsWithConnection()) {
            connection->parser->feedEof();
            if (connection->parser->done()) {
                HttpResponse response = connection->parser->take();
                if (isForRequest(*connection, response))
                    return finish(connection, UpstreamResult::Kind::Responded, std::move(response), false);
            }
        }
        finish(connection, UpstreamResult::Kind::Lost, {}, false);
    }

    void finish(
        const ConnectionPtr& connection, UpstreamResult::Kind kind, HttpResponse response, bool reusable)
    {
        const Callback done = std::move(connection->done);
        if (response.body.isLong()) {
            if (!connection->memory)
                connection->memory = std::make_shared<MemoryBudget::Reservation>(admission.budget());
            connection->memory->resize(response.body.size());
            response.body.count(connection->memory);
        }
        connection->memory.reset();
        connection->received = 0;
        connection->isPaused = false;
        connection->stream->resumeReading();
        UpstreamResult result { kind, std::move(response), !connection->hasReceivedBytes,
            connection->hasServedRequest, connection->number };
        active.erase(connection->exchange);
        connection->exchange = 0;
        connection->done = nullptr;
        connection->parser.reset();
        connection->hasServedRequest = true;
        connection->idleSince = monotonicNow();
        if (reusable)
            idle.push_back(connection);
        else
            drop(connection);
        done(std::move(result));
    }

    void drop(const ConnectionPtr& connection)
    {
        std::erase(idle, connection);
        std::erase(connections, connection);
        connection->memory.reset();
        connection->stream->close();
    }

    /// Whether the upstream may close the idle connection within keepAliveMargin.
    static bool isIdleTooLong(const Connection& connection, Instant now)
    {
        return now - connection.idleSince >= connection.keepAliveTimeout - keepAliveMargin;
    }

    /// Takes the most recently used idle connection that can carry the request; null when there is none. One
    /// that has carried the request before can't: its second response may still come. Drops those that are
    /// near their keep-alive timeout or have unread data.
    ConnectionPtr takeIdle(const UpstreamRequest& request)
    {
        const Instant now = monotonicNow();
        for (std::size_t i = idle.size(); i-- > 0;) {
            ConnectionPtr connection = idle[i];
            const Duration idleFor = now - connection->idleSince;
            if (!request.idempotent && idleFor > maxIdleForNonIdempotent)
                return nullptr;
            if (connection->carried.mayContain(request.id))
                continue;
            idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
            if (!isIdleTooLong(*connection, now) && !connection->stream->hasUnreadData())
                return connection;
            drop(connection);
        }
        return nullptr;
    }

    boost::asio::io_context& io;
    std::string address;
    const FieldNames& fieldNames;
    MemoryAdmission& admission;
    const std::uint64_t maxBodyBytes; // of one response
    boost::asio::steady_timer retryTimer; // while a connection is paused
    std::vector<ConnectionPtr> connections; // all that are open
    std::vector<ConnectionPtr> idle; // without an exchange, the most recently used last
    std::unordered_map<ExchangeId, ConnectionPtr> active;
    std::unordered_set<ExchangeId> connecting;
    ExchangeId nextExchange { 1 };
    std::uint64_t opened { 0 }; // connections since the start
    std::uint64_t strayResponses { 0 };
};

UpstreamConnectionPool::UpstreamConnectionPool(
    boost::asio::io_context& io, std::string address, const FieldNames& fields, MemoryAdmission& admission)
    : m_internals(std::make_shared<Internals>(io, std::move(address), fields, admission))
{
}

UpstreamConnectionPool::~UpstreamConnectionPool() = default;

ExchangeId UpstreamConnectionPool::send(UpstreamRequest request, Callback done)
{
    const ExchangeId exchange = m_internals->nextExchange++;
    if (const auto connection = m_internals->takeIdle(request))
        m_internals->begin(connection, exchange, std::move(request), std::move(done));
    else
        m_internals->open(exchange, std::move(request), std::move(done));
    return exchange;
}

void UpstreamConnectionPool::abort(ExchangeId exchange)
{
    m_internals->connecting.erase(exchange);
    const auto found = m_internals->active.find(exchange);
    if (found == m_internals->active.end())
        return;
    const auto connection = found->second;
    m_internals->active.erase(found);
    connection->done = nullptr;
    m_internals->drop(connection);
}

void UpstreamConnectionPool::closeIdle()
{
    const Instant now = monotonicNow();
    const auto idle = m_internals->idle;
    for (const auto& connection : idle) {
        if (Internals::isIdleTooLong(*connection, now))
            m_internals->drop(connection);
    }
}

void UpstreamConnectionPool::setAddress(std::string address)
{
    if (address == m_internals->address)
        return;
    m_internals->address = std::move(address);
    const auto idle = m_internals->idle;
    for (const auto& connection : idle)
        m_internals->drop(connection);
}

std::size_t UpstreamConnectionPool::connectionCount() const { return m_internals->connections.size(); }

std::size_t UpstreamConnectionPool::pausedCount() const { return m_internals->pausedCount(); }

std::uint64_t UpstreamConnectionPool::openedCount() const { return m_internals->opened; }

std::uint64_t UpstreamConnectionPool::strayResponseCount() const { return m_internals->strayResponses; }

} // namespace Ebonystack
