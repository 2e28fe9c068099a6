// One object a connection.
#include "transport/CallerServer.h"

#include "transport/ByteStream.h"
#include "transport/SystemClock.h"

#include <nlohmann/json.hpp>
#include <set>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Kept open beyond the caller's idle limit, so that a request in flight finds the connection open.
constexpr Duration idleMargin = 500ms;
/// A caller that takes nothing of its answer for this long is given up.
constexpr Duration stallLimit = 10s;
/// Bytes that a caller may send ahead of the answer to its request.
constexpr std::size_t mostAhead = 1 << 20;

} // namespace

class CallerServer::Internals : public std::enable_shared_from_this<Internals> {
public:
    struct Connection {
        std::shared_ptr<ByteStream> stream;
        std::string input;
        std::optional<RequestParser> parser; // while a request is being read
        bool serving { false }; // a request is with the entry
        std::optional<CallId> call; // set while serving, once the entry has returned its id
        bool keepAlive { true }; // as the current request asks for
        bool toHead { false };
        bool saidContinue { false };
        Instant since; // of the current phase: idle, reading or writing
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Internals(SidecarState& shared, EntryService& service)
        : state(shared)
        , entry(service)
    {
    }

    CallerLimits limits() const { return state.config ? state.config->config().limits : CallerLimits {}; }

    void onBytes(const ConnectionPtr& connection, std::string_view bytes)
    {
        connection->input.append(bytes);
        if (connection->serving) {
            if (connection->input.size() > mostAhead)
                drop(connection);
            return;
        }
        read(connection);
    }

    void read(const ConnectionPtr& connection)
    {
        if (connection->input.empty() || connection->serving || !connections.contains(connection))
            return;
        if (!connection->parser) {
            const CallerLimits current = limits();
            connection->parser.emplace(current.headerBytes, current.bodyBytes);
            connection->saidContinue = false;
            connection->since = monotonicNow();
        }
        const std::size_t used = connection->parser->feed(connection->input);
        connection->input.erase(0, used);
        if (connection->parser->refusal())
            return refuse(connection, *connection->parser->refusal());
        if (connection->parser->done())
            return serve(connection);
        if (connection->parser->expectsContinue() && !std::exchange(connection->saidContinue, true))
            connection->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void serve(const ConnectionPtr& connection)
    {
        HttpRequest request = connection->parser->take();
        connection->parser.reset();
        connection->serving = true;
        connection->keepAlive = request.head.keepAlive;
        connection->toHead = request.head.method == "HEAD";
        const CallId call = entry.begin(std::move(request),
            [weak = weak_from_this(), weakConnection = std::weak_ptr<Connection>(connection)](
                HttpResponse response) {
                const auto self = weak.lock();
                const auto held = weakConnection.lock();
                if (self && held)
                    self->respond(held, std::move(response));
            });
        if (connection->serving)
            connection->call = call;
    }

    void respond(const ConnectionPtr& connection, HttpResponse response)
    {
        connection->serving = false;
        connection->call.reset();
        connection->since = monotonicNow();
        response.head.keepAlive = connection->keepAlive && !state.isLeaving();
        connection->stream->write(writeResponse(response.head, response.body, connection->toHead));
        if (!response.head.keepAlive)
            return closeAfterWriting(connection);
        if (connection->input.empty())
            return;
        // Reading on from here would nest one call of the entry in the other.
        state.timers.at(monotonicNow(), [weak = weak_from_this(), connection](Instant) {
            if (const auto self = weak.lock())
                self->read(connection);
        });
    }

    void refuse(const ConnectionPtr& connection, const Refusal& refusal)
    {
        const ResultCodeInfo& info = describe(refusal.code);
        ResponseHead head;
        head.status = info.httpStatus;
        head.keepAlive = false;
        head.fields.add("Ebony-Result", std::to_string(static_cast<int>(refusal.code)));
        ++state.counters.refusals[std::string(info.name)];
        state.log.failure("request not accepted", "", monotonicNow(), [&] {
            return nlohmann::json { { "code", static_cast<int>(refusal.code) }, { "name", info.name },
                { "explanation", refusal.explanation } };
        });
        connection->stream->write(writeResponse(head, {}, false));
        closeAfterWriting(connection);
    }

    void closeAfterWriting(const ConnectionPtr& connection)
    {
        connections.erase(connection);
        connection->stream->closeAfterWriting();
    }

    void drop(const ConnectionPtr& connection)
    {
        connections.erase(connection);
        connection->stream->close();
        if (connection->call)
            entry.cancel(*connection->call);
        connection->call.reset();
    }

    SidecarState& state;
    EntryService& entry;
    std::set<ConnectionPtr> connections;
};

CallerServer::CallerServer(SidecarState& state, EntryService& entry)
    : m_internals(std::make_shared<Internals>(state, entry))
{
}

CallerServer::~CallerServer() = default;

void CallerServer::accept(boost::asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<Internals::Connection>();
    connection->stream = std::make_shared<ByteStream>(std::move(socket));
    connection->since = monotonicNow();
    m_internals->connections.insert(connection);
    const std::weak_ptr<Internals> weak = m_internals;
    const std::weak_ptr<Internals::Connection> weakConnection = connection;
    connection->stream->start(
        [weak, weakConnection](std::string_view bytes) {
            const auto self = weak.lock();
            const auto held = weakConnection.lock();
            if (self && held)
                self->onBytes(held, bytes);
        },
        [weak, weakConnection](StreamEnd) {
            const auto self = weak.lock();
            const auto held = weakConnection.lock();
            if (self && held)
                self->drop(held);
        });
}

void CallerServer::tend(Instant now)
{
    const CallerLimits limits = m_internals->limits();
    const auto connections = m_internals->connections;
    for (const auto& connection : connections) {
        if (connection->serving)
            continue;
        const Duration age = now - connection->since;
        const bool reading = connection->parser.has_value();
        const bool writing = connection->stream->unsent() > 0;
        const bool stalls = writing && age > stallLimit;
        const bool idles = !reading && !writing && age > limits.idleTimeout + idleMargin;
        if (stalls || idles)
            m_internals->drop(connection);
        else if (reading && !connection->parser->headDone() && age > limits.headerTimeout + idleMargin)
            m_internals->refuse(
                connection, notRun(ResultCode::SenderTooSlow, "the header did not arrive in time"));
    }
}

std::size_t CallerServer::connections() const { return m_internals->connections.size(); }

std::size_t CallerServer::busy() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_internals->connections, [](const auto& connection) {
            return connection->serving || connection->parser || connection->stream->unsent() > 0;
        }));
}

void CallerServer::closeIdle()
{
    const auto connections = m_internals->connections;
    for (const auto& connection : connections) {
        if (!connection->serving && !connection->parser && connection->stream->unsent() == 0)
            m_internals->drop(connection);
    }
}

} // namespace Ebonystack
