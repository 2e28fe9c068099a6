// Responds to each request with one page; connections are kept open unless the client asks to close them, or
// more are needed than a server has.
#include "transport/StatusServer.h"

#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"
#include "transport/StreamAcceptor.h"

#include <algorithm>
#include <vector>

namespace Ebonystack {
namespace {

constexpr std::uint32_t maxHeaderBytes = 8192;
/// Of one server, those that are closing included.
constexpr std::size_t maxConnections = 32;

} // namespace

class StatusServer::Internals : public std::enable_shared_from_this<Internals> {
public:
    struct Connection {
        std::shared_ptr<ByteStream> stream;
        RequestParser parser { maxHeaderBytes, 0 };
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    explicit Internals(MakePage make)
        : makePage(std::move(make))
    {
    }

    void accept(boost::asio::ip::tcp::socket socket)
    {
        makeRoom();
        auto connection = std::make_shared<Connection>();
        connection->stream = std::make_shared<ByteStream>(std::move(socket), PeerLocation::OtherVm);
        connections.push_back(connection);
        startStream(*connection->stream, weak_from_this(), std::weak_ptr<Connection>(connection),
            &Internals::onBytes, &Internals::onEnd);
    }

    /// Closes the connection that was used least recently if there is no room for another one.
    void makeRoom()
    {
        std::erase_if(connections, [](const ConnectionPtr& each) { return !each->stream->isOpen(); });
        if (connections.size() < maxConnections)
            return;
        connections.front()->stream->close();
        connections.erase(connections.begin());
    }

    void onEnd(const ConnectionPtr& connection, StreamEnd) { std::erase(connections, connection); }

    void markUsed(const ConnectionPtr& connection)
    {
        const auto position = std::ranges::find(connections, connection);
        if (position != connections.end())
            std::rotate(position, position + 1, connections.end());
    }

    void onBytes(const ConnectionPtr& connection, std::string_view bytes)
    {
        connection->parser.feed(bytes);
        if (!connection->parser.done() && !connection->parser.refusal())
            return;
        // A client that asks again without reading would let its pages pile up.
        if (connection->stream->unsent() > 0) {
            connection->stream->close();
            return onEnd(connection, StreamEnd::Closed);
        }
        markUsed(connection);
        HttpResponse response;
        if (connection->parser.refusal()) {
            response.head.status = describe(connection->parser.refusal()->code).httpStatus;
            response.head.keepAlive = false;
        } else {
            const HttpRequest request = connection->parser.take();
            const StatusPage page = makePage(pathOf(request.head.target));
            response.head.status = page.status;
            response.head.fields.add("Content-Type", page.contentType);
            response.head.keepAlive = request.head.keepAlive;
            response.body = page.body;
        }
        connection->parser = RequestParser(maxHeaderBytes, 0);
        connection->stream->write(writeResponse(response.head, response.body.view(), false));
        if (!response.head.keepAlive)
            connection->stream->closeAfterWriting();
    }

    MakePage makePage;
    std::vector<ConnectionPtr> connections; // the least recently used one first
    std::unique_ptr<StreamAcceptor> acceptor;
};

StatusServer::StatusServer(boost::asio::io_context& io, const std::string& address, MakePage makePage)
    : m_internals(std::make_shared<Internals>(std::move(makePage)))
{
    m_internals->acceptor = std::make_unique<StreamAcceptor>(
        io, address, [weak = std::weak_ptr<Internals>(m_internals)](auto socket) {
            if (const auto self = weak.lock())
                self->accept(std::move(socket));
        });
}

StatusServer::~StatusServer() = default;

std::uint16_t StatusServer::port() const { return m_internals->acceptor->port(); }

} // namespace Ebonystack
