// Accepts connections in a loop and retries after errors.
#include "transport/StreamAcceptor.h"

#include "state/Check.h"
#include "transport/SocketAddress.h"

#include <boost/asio/steady_timer.hpp>

namespace Ebonystack {
namespace {

namespace Asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = Asio::ip::tcp;

/// Delay after accept has failed, for example because no file descriptor was free.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
constexpr int backlog = 1024;

} // namespace

class StreamAcceptor::Internals : public std::enable_shared_from_this<Internals> {
public:
    Internals(Asio::io_context& io, Accept onAccept)
        : acceptor(io)
        , retryTimer(io)
        , accept(std::move(onAccept))
    {
    }

    void listen(const std::string& addressText, int receiveBufferBytes)
    {
        const SocketAddress address = SocketAddress::parse(addressText);
        ErrorCode error;
        const Tcp::endpoint endpoint(Asio::ip::make_address(address.host, error), address.port);
        if (!error)
            acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        if (!error && receiveBufferBytes > 0)
            acceptor.set_option(Asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
        if (!error)
            acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(backlog, error);
        userCheck(!error,
            "Can't listen on " + addressText + ": " + error.message() + ". Give a free address of this VM.");
    }

    void acceptNext()
    {
        acceptor.async_accept([self = shared_from_this()](const ErrorCode& error, Tcp::socket socket) {
            if (error == Asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (error)
                return self->retryLater();
            self->accept(std::move(socket));
            self->acceptNext();
        });
    }

    void retryLater()
    {
        retryTimer.expires_after(acceptRetryDelay);
        retryTimer.async_wait([self = shared_from_this()](const ErrorCode& error) {
            if (!error)
                self->acceptNext();
        });
    }

    Tcp::acceptor acceptor;
    Asio::steady_timer retryTimer;
    Accept accept;
};

StreamAcceptor::StreamAcceptor(
    Asio::io_context& io, const std::string& address, Accept accept, int receiveBufferBytes)
    : m_internals(std::make_shared<Internals>(io, std::move(accept)))
{
    m_internals->listen(address, receiveBufferBytes);
    m_internals->acceptNext();
}

StreamAcceptor::~StreamAcceptor() { close(); }

std::uint16_t StreamAcceptor::port() const
{
    ErrorCode ignored;
    return m_internals->acceptor.local_endpoint(ignored).port();
}

void StreamAcceptor::close()
{
    ErrorCode ignored;
    m_internals->acceptor.close(ignored);
    m_internals->retryTimer.cancel();
}

} // namespace Ebonystack
