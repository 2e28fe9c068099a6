// An exchange of a connection pool with an upstream whose socket the test drives itself: what it sends and
// reads, and whether it closes or resets the connection.
#pragma once

#include "lab/SimplePlatformAdapter.h"
#include "support/RunLoop.h"
#include "transport/UpstreamConnectionPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Ebonystack::Testing {

/// Its operations on the upstream's socket block, and ignore errors: the node may have closed the connection.
class RawUpstream {
public:
    /// Sends a request with a body of `bodyBytes` and accepts its connection.
    explicit RawUpstream(std::size_t bodyBytes)
    {
        using Tcp = boost::asio::ip::tcp;
        Tcp::acceptor acceptor(m_peerIo, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        m_pool.emplace(m_io, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
            m_adapter.fieldNames(), m_admission);
        RequestHead head;
        head.method = "POST";
        head.target = "/x/1";
        head.fields.add("X-Id", "1");
        m_pool->send({ writeRequestHead(head, bodyBytes), std::string(bodyBytes, 'x'), "1", false, false },
            [this](UpstreamResult given) { result = std::move(given); });
        runUntil(m_io, [&] { return m_pool->connectionCount() == 1; });
        m_socket = acceptor.accept();
    }

    /// Runs handlers of the node that are ready, up to `handlers`.
    void runNode(int handlers)
    {
        m_io.restart();
        while (handlers-- > 0 && m_io.poll_one() > 0) { }
    }

    bool awaitResult()
    {
        return runUntil(m_io, [&] { return result.has_value(); });
    }

    void send(std::string_view bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes), m_ignored); }

    /// Reads what has arrived of the request, up to `bytes`.
    void read(std::size_t bytes)
    {
        m_socket.non_blocking(true, m_ignored);
        std::string buffer(bytes, '\0');
        m_socket.read_some(boost::asio::buffer(buffer), m_ignored);
        m_socket.non_blocking(false, m_ignored);
    }

    /// Ends the response, as a server that is done with the request.
    void endOrderly() { m_socket.shutdown(boost::asio::socket_base::shutdown_send, m_ignored); }

    /// Resets the connection, as the system does for a process that ends with unread bytes.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), m_ignored);
        m_socket.close(m_ignored);
    }

    std::optional<UpstreamResult> result;

private:
    boost::system::error_code m_ignored;
    boost::asio::io_context m_io;
    boost::asio::io_context m_peerIo;
    SimplePlatformAdapter m_adapter;
    MemoryAdmission m_admission { std::size_t { 4 } << 20 };
    std::optional<UpstreamConnectionPool> m_pool;
    boost::asio::ip::tcp::socket m_socket { m_peerIo };
};

} // namespace Ebonystack::Testing
