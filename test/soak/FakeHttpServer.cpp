// The HTTP server of the soak's fakes.
#include "FakeHttpServer.h"

#include <utility>

namespace Ebonystack::Soak {
namespace {

constexpr std::uint32_t maxHeaderBytes = 16384;
constexpr std::uint64_t maxBodyBytes = 64 << 20;
constexpr std::string_view lengthField = "\r\nContent-Length: ";

} // namespace

struct FakeHttpServer::Exchange {
    RequestParser parser { maxHeaderBytes, maxBodyBytes };
    std::string head; // until it is complete
    bool isHeadKnown { false };
    std::string late; // a response to repeat before the next one
};

FakeHttpServer::FakeHttpServer(boost::asio::io_context& io, std::string address, RequestHandler handler)
    : m_io(io)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
{
    listen();
}

void FakeHttpServer::listen()
{
    if (!m_acceptor)
        m_acceptor.emplace(m_io, m_address, [this](auto socket) { accept(std::move(socket)); });
}

void FakeHttpServer::accept(boost::asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<PacedConnection>(std::move(socket));
    m_connections.insert(connection);
    const std::weak_ptr<PacedConnection> weak = connection;
    connection->start(
        [this, weak, exchange = std::make_shared<Exchange>()](std::string_view bytes) {
            if (const auto known = weak.lock())
                onBytes(known, exchange, bytes);
        },
        [this, weak](ConnectionEnd) { forget(weak.lock()); });
}

void FakeHttpServer::onBytes(const std::shared_ptr<PacedConnection>& connection,
    const std::shared_ptr<Exchange>& received, std::string_view bytes)
{
    Exchange& exchange = *received;
    exchange.parser.feed(bytes);
    if (!exchange.isHeadKnown) {
        exchange.head += bytes;
        const auto headEnd = exchange.head.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        exchange.isHeadKnown = true;
        const auto lengthAt = exchange.head.find(lengthField);
        if (m_early && !exchange.parser.done() && lengthAt < headEnd) {
            const std::size_t length = std::stoull(exchange.head.substr(lengthAt + lengthField.size()));
            const std::size_t bodyBytes = exchange.head.size() - headEnd - 4;
            exchange.head.erase(lengthAt, exchange.head.find("\r\n", lengthAt + 2) - lengthAt);
            RequestParser withoutBody(maxHeaderBytes, 0);
            withoutBody.feed(exchange.head.substr(0, exchange.head.find("\r\n\r\n") + 4));
            if (withoutBody.done() && m_early(withoutBody.take(), length - bodyBytes, connection)) {
                m_takenOver.insert(connection);
                return;
            }
        }
    }
    if (!exchange.parser.done())
        return;
    const HttpRequest request = exchange.parser.take();
    const auto late = std::exchange(exchange.late, {});
    exchange.parser = RequestParser(maxHeaderBytes, maxBodyBytes);
    exchange.head.clear();
    exchange.isHeadKnown = false;
    connection->write(late);
    m_handler(request, [this, weak = std::weak_ptr(connection), received](const std::string& response) {
        const auto open = weak.lock();
        if (!open || !m_connections.contains(open))
            return false;
        if (m_repeatsLate())
            received->late = response;
        if (!response.empty()) {
            open->write(response);
            return true;
        }
        forget(open);
        open->close();
        return true;
    });
}

void FakeHttpServer::forget(const std::shared_ptr<PacedConnection>& connection)
{
    m_connections.erase(connection);
    m_takenOver.erase(connection);
}

void FakeHttpServer::closeConnections()
{
    for (const auto& connection : std::exchange(m_takenOver, {}))
        connection->reset();
    for (const auto& connection : std::exchange(m_connections, {}))
        connection->close();
}

void FakeHttpServer::resetConnections()
{
    m_takenOver.clear();
    for (const auto& connection : std::exchange(m_connections, {}))
        connection->reset();
}

void FakeHttpServer::reset(const std::shared_ptr<PacedConnection>& connection)
{
    forget(connection);
    connection->reset();
}

std::string fakeResponse(int status, const std::string& body, const std::string& fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Ebonystack::Soak
