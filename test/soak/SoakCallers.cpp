// The callers of a soak.
#include "SoakCallers.h"

#include "SoakContent.h"

#include <boost/asio/steady_timer.hpp>

namespace Ebonystack::Soak {
namespace {

using namespace std::chrono_literals;

constexpr auto connectTimeout = 1s;
constexpr auto timeoutSlack = 100ms; // after the deadline
constexpr std::uint64_t responsesPerClose = 20;
constexpr std::uint64_t requestsPerNewConnection = 10;
constexpr std::uint64_t maxResponseBytes = 2 << 20;
/// What the system takes for a slow reader; it doubles it.
constexpr int slowReceiveBuffer = 32 << 10;
/// When less than this is left, none of it is with the node's system.
constexpr std::size_t almostRead = std::size_t { 4 } * slowReceiveBuffer;
constexpr std::size_t steadyReads = 40;
constexpr auto steadyPause = 70ms;
constexpr std::size_t haltingShare = 5; // one part of this many is read before the halt
constexpr auto shortestHalt = 2900ms;
constexpr std::uint64_t haltSpread = 700; // ms

} // namespace

SoakCallers::SoakCallers(boost::asio::io_context& io, std::uint64_t seed, AnswerCheck& answerCheck,
    OnResponse onResponse, OnStray onStray)
    : m_io(io)
    , m_random(seed)
    , m_pauseRandom(~seed)
    , m_answerCheck(answerCheck)
    , m_onResponse(std::move(onResponse))
    , m_onStray(std::move(onStray))
{
}

void SoakCallers::send(const CallerRequest& request)
{
    auto& idle = m_idle[request.address];
    if (request.reading != Reading::AtOnce || idle.empty() || m_random.below(requestsPerNewConnection) == 0)
        return startConnection(request);
    const std::uint64_t index = m_random.below(idle.size());
    const ConnectionPointer connection = idle[index];
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
    sendOn(connection, request);
}

void SoakCallers::startConnection(const CallerRequest& request)
{
    connectPaced(m_io, request.address, connectTimeout,
        request.reading == Reading::AtOnce ? 0 : slowReceiveBuffer,
        [this, request](const std::shared_ptr<PacedConnection>& stream) {
            if (!stream)
                return;
            ++m_connectionCount;
            const auto connection = std::make_shared<Connection>(Connection { stream, request, {} });
            const std::weak_ptr<Connection> weak = connection;
            stream->start(
                [this, weak](std::string_view bytes) {
                    if (const auto known = weak.lock())
                        onBytes(known, bytes);
                },
                [this, weak](ConnectionEnd how) {
                    if (const auto known = weak.lock())
                        onEnd(known, how);
                });
            sendOn(connection, request);
        });
}

void SoakCallers::sendOn(const ConnectionPointer& connection, const CallerRequest& request)
{
    connection->request = request;
    connection->received = 0;
    connection->parser.emplace(false, maxResponseBytes);
    const std::string body = request.bodyBytes > 0 ? makeContent(request.id, request.bodyBytes) : "";
    connection->stream->write((body.empty() ? "GET " : "POST ") + request.path
        + "x HTTP/1.1\r\nHost: example\r\nEbonystack-Attempt-Id: " + request.id
        + "\r\nEbonystack-Deadline-Ms: " + std::to_string(request.deadline.count())
        + "\r\nAuthorization: Bearer k\r\n" + (request.closes ? "Connection: close\r\n" : "")
        + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, request.deadline + timeoutSlack);
    timer->async_wait([this, connection, timer, id = request.id](const boost::system::error_code&) {
        if (!connection->parser || connection->request.id != id)
            return;
        m_answerCheck.onGivenUp(id);
        connection->parser.reset();
        connection->stream->close();
    });
}

void SoakCallers::onBytes(const ConnectionPointer& connection, std::string_view bytes)
{
    if (!connection->parser)
        return m_onStray(bytes);
    connection->received += bytes.size();
    const std::size_t used = connection->parser->feed(bytes);
    if (!connection->parser->done())
        return paceReading(connection);
    if (used < bytes.size())
        m_onStray(bytes.substr(used));
    finish(connection, true);
}

void SoakCallers::paceReading(const ConnectionPointer& connection)
{
    const CallerRequest& request = connection->request;
    if (connection->received + almostRead >= request.responseBytes)
        m_answerCheck.onAlmostRead(request.id);
    if (request.reading == Reading::Steady)
        return pause(connection, steadyPause, request.responseBytes / steadyReads);
    const bool isHalt = request.reading == Reading::Halting && !connection->hasHalted
        && connection->received >= request.responseBytes / haltingShare;
    if (!isHalt)
        return;
    connection->hasHalted = true;
    pause(connection, shortestHalt + std::chrono::milliseconds(m_pauseRandom.below(haltSpread)),
        request.responseBytes);
}

void SoakCallers::pause(
    const ConnectionPointer& connection, std::chrono::milliseconds time, std::size_t maxBytes)
{
    connection->stream->pauseReading();
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, time);
    timer->async_wait([connection, timer, maxBytes](
                          const boost::system::error_code&) { connection->stream->resumeReading(maxBytes); });
}

void SoakCallers::finish(const ConnectionPointer& connection, bool mayReuse)
{
    const HttpResponse response = connection->parser->take();
    const CallerRequest request = connection->request;
    connection->parser.reset();
    m_answerCheck.onResponse(request.id, response.head.status);
    const bool isLast
        = !mayReuse || request.closes || request.reading != Reading::AtOnce || !response.head.keepAlive;
    if (isLast || m_random.below(responsesPerClose) == 0)
        connection->stream->close();
    else
        m_idle[request.address].push_back(connection);
    m_onResponse(request.id, response);
}

void SoakCallers::onEnd(const ConnectionPointer& connection, ConnectionEnd how)
{
    std::erase(m_idle[connection->request.address], connection);
    if (!connection->parser)
        return;
    if (how == ConnectionEnd::Orderly && connection->parser->endsWithConnection()) {
        connection->parser->feedEof();
        if (connection->parser->done())
            return finish(connection, false);
    }
    connection->parser.reset();
    m_answerCheck.onCutOff(connection->request.id);
}

} // namespace Ebonystack::Soak
