// The pool and the exchange on one connection.
#include "transport/UpstreamConnectionPool.h"

#include "transport/ByteStream.h"
#include "transport/SystemClock.h"

#include <boost/asio/post.hpp>
#include <charconv>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration connectTimeout = 500ms;
/// For upstreams that don't state how long they keep idle connections.
constexpr Duration assumedKeepAlive = 4s;
/// Connections are given up this long before the upstream closes them.
constexpr Duration keepAliveMargin = 1500ms;
/// A request that must not be repeated uses only connections that were idle for less: some upstreams forget
/// idle connections early.
constexpr Duration maxIdleForNonIdempotent = 800ms;
/// Answers to earlier requests that are passed over on one connection before it is given up.
constexpr int maxStrayResponses = 2;

Duration keepAliveOf(const HttpFields& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = fields.find("Keep-Alive");
    if (!value)
        return assumedKeepAlive;
    const auto at = value->find(parameter);
    int seconds = 0;
    if (at == std::string_view::npos
        || std::from_chars(value->data() + at + parameter.size(), value->data() + value->size(), seconds).ec
            != std::errc())
        return assumedKeepAlive;
    return std::chrono::seconds(seconds);
}

} // namespace

class UpstreamConnectionPool::Internals : public std::enable_shared_from_this<Internals> {
public:
    struct Connection {
        std::shared_ptr<ByteStream> stream;
        std::optional<ResponseParser> parser; // while an exchange is under way
        std::string input;
        UpstreamRequest request;
        Done done;
        ExchangeId exchange { 0 }; // 0: idle
        Instant idleSince;
        Duration keepAlive { assumedKeepAlive };
        bool served { false }; // at least one request
        bool sawBytes { false }; // of the current exchange
        bool hadStrayResponse { false }; // of the current exchange
        int strayResponses { 0 };
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Internals(boost::asio::io_context& context, std::string upstreamAddress, const FieldNames& names,
        std::uint64_t limit)
        : io(context)
        , address(std::move(upstreamAddress))
        , fields(names)
        , bodyBytes(limit)
    {
    }

    void begin(const ConnectionPtr& connection, ExchangeId exchange, UpstreamRequest request, Done done)
    {
        connection->exchange = exchange;
        connection->request = std::move(request);
        connection->done = std::move(done);
        connection->sawBytes = false;
        connection->hadStrayResponse = false;
        connection->parser.emplace(connection->request.isHeadRequest, bodyBytes);
        active[exchange] = connection;
        connection->stream->write(connection->request.bytes);
    }

    void open(ExchangeId exchange, UpstreamRequest request, Done done)
    {
        connecting.insert(exchange);
        connectStream(io, address, connectTimeout,
            [self = shared_from_this(), exchange, request = std::move(request), done = std::move(done)](
                std::shared_ptr<ByteStream> stream) mutable {
                if (self->connecting.erase(exchange) == 0)
                    return; // aborted
                if (!stream)
                    return done({ UpstreamResult::Kind::NotConnected, {}, true, false });
                ++self->opened;
                auto connection = std::make_shared<Connection>();
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
            return drop(connection); // nobody asked for these
        connection->input.append(bytes);
        readResponse(connection);
    }

    void readResponse(const ConnectionPtr& connection)
    {
        connection->sawBytes = true;
        while (connection->exchange != 0 && !connection->input.empty()) {
            const std::size_t used = connection->parser->feed(connection->input);
            connection->input.erase(0, used);
            if (connection->parser->failed())
                return finish(connection, UpstreamResult::Kind::Invalid, {}, false);
            if (!connection->parser->done())
                return;
            HttpResponse response = connection->parser->take();
            if (!isStray(*connection, response))
                return onResponse(connection, std::move(response));
            connection->hadStrayResponse = true;
            if (++connection->strayResponses > maxStrayResponses)
                return finish(connection, UpstreamResult::Kind::Invalid, {}, false);
            connection->parser.emplace(connection->request.isHeadRequest, bodyBytes);
        }
    }

    /// An answer to another request: a late one, or a second one.
    bool isStray(const Connection& connection, const HttpResponse& response) const
    {
        const auto echoed = response.head.fields.find(fields.requestId);
        return echoed && *echoed != connection.request.id;
    }

    void onResponse(const ConnectionPtr& connection, HttpResponse response)
    {
        if (response.head.status < 200) { // interim answers say nothing final
            connection->parser.emplace(connection->request.isHeadRequest, bodyBytes);
            return readResponse(connection);
        }
        connection->keepAlive = keepAliveOf(response.head.fields);
        const bool reusable = response.head.keepAlive && connection->input.empty()
            && !connection->hadStrayResponse && connection->stream->unsent() == 0;
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
                if (!isStray(*connection, response))
                    return finish(connection, UpstreamResult::Kind::Responded, std::move(response), false);
            }
        }
        finish(connection, UpstreamResult::Kind::Lost, {}, false);
    }

    void finish(const ConnectionPtr& connection, UpstreamResult::Kind kind, HttpResponse response, bool keep)
    {
        const Done done = std::move(connection->done);
        UpstreamResult result { kind, std::move(response), !connection->sawBytes, connection->served };
        active.erase(connection->exchange);
        connection->exchange = 0;
        connection->done = nullptr;
        connection->parser.reset();
        connection->served = true;
        connection->idleSince = monotonicNow();
        if (keep)
            idle.push_back(connection);
        else
            drop(connection);
        done(std::move(result));
    }

    void drop(const ConnectionPtr& connection)
    {
        std::erase(idle, connection);
        std::erase(connections, connection);
        connection->stream->close();
    }

    /// Whether the upstream may soon close the idle connection.
    static bool isOverdue(const Connection& connection, Instant now)
    {
        return now - connection.idleSince >= connection.keepAlive - keepAliveMargin;
    }

    /// The connection that was used last and can take the request; null when there is none.
    ConnectionPtr takeIdle(bool idempotent)
    {
        const Instant now = monotonicNow();
        while (!idle.empty()) {
            ConnectionPtr connection = idle.back();
            const Duration idleFor = now - connection->idleSince;
            if (!idempotent && idleFor > maxIdleForNonIdempotent)
                return nullptr;
            idle.pop_back();
            if (!isOverdue(*connection, now) && !connection->stream->hasUnreadData())
                return connection;
            drop(connection);
        }
        return nullptr;
    }

    boost::asio::io_context& io;
    std::string address;
    const FieldNames& fields;
    const std::uint64_t bodyBytes;
    std::vector<ConnectionPtr> connections; // all that are open
    std::vector<ConnectionPtr> idle; // those without an exchange, the one used last at the end
    std::unordered_map<ExchangeId, ConnectionPtr> active;
    std::unordered_set<ExchangeId> connecting;
    ExchangeId nextExchange { 1 };
    std::uint64_t opened { 0 };
};

UpstreamConnectionPool::UpstreamConnectionPool(
    boost::asio::io_context& io, std::string address, const FieldNames& fields, std::uint64_t bodyBytes)
    : m_internals(std::make_shared<Internals>(io, std::move(address), fields, bodyBytes))
{
}

UpstreamConnectionPool::~UpstreamConnectionPool() = default;

ExchangeId UpstreamConnectionPool::send(UpstreamRequest request, Done done)
{
    const ExchangeId exchange = m_internals->nextExchange++;
    if (const auto connection = m_internals->takeIdle(request.idempotent))
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
        if (Internals::isOverdue(*connection, now))
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

std::size_t UpstreamConnectionPool::connections() const { return m_internals->connections.size(); }

std::uint64_t UpstreamConnectionPool::opened() const { return m_internals->opened; }

} // namespace Ebonystack
