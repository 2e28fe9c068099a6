// Connections on readiness events of the soak's loop.
#include "PacedConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <sys/socket.h>

namespace Ebonystack::Soak {
namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

bool wouldBlock(const ErrorCode& error)
{
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

Tcp::endpoint endpointOf(const std::string& address)
{
    const auto colon = address.rfind(':');
    return { boost::asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

} // namespace

PacedConnection::PacedConnection(Tcp::socket socket)
    : m_socket(std::move(socket))
{
    ErrorCode ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(Tcp::no_delay(true), ignored);
}

void PacedConnection::start(OnBytes onBytes, OnEnd onEnd)
{
    m_onBytes = std::move(onBytes);
    m_onEnd = std::move(onEnd);
    awaitReadable();
}

void PacedConnection::pauseReading()
{
    if (!std::exchange(m_isPaused, true))
        awaitBreak();
}

void PacedConnection::resumeReading(std::size_t maxBytes)
{
    m_maxRead = std::min(maxBytes, maxReadBytes);
    m_isPaused = false;
    awaitReadable();
}

void PacedConnection::awaitReadable()
{
    if (m_isPaused || !m_socket.is_open() || std::exchange(m_awaitsReadable, true))
        return;
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
        self->m_awaitsReadable = false;
        if (error || self->m_isPaused || !self->m_socket.is_open())
            return;
        self->read();
        self->awaitReadable();
    });
}

void PacedConnection::awaitBreak()
{
    if (!m_socket.is_open())
        return;
    m_socket.async_wait(Tcp::socket::wait_error, [self = shared_from_this()](const ErrorCode& error) {
        if (!error && self->m_isPaused && self->m_socket.is_open())
            self->end(ConnectionEnd::Broken);
    });
}

void PacedConnection::read()
{
    ErrorCode error;
    const std::size_t count = m_socket.read_some(boost::asio::buffer(m_buffer.data(), m_maxRead), error);
    if (wouldBlock(error))
        return;
    if (error)
        return end(error == boost::asio::error::eof ? ConnectionEnd::Orderly : ConnectionEnd::Broken);
    // A copy: the callback may close the connection or set another one.
    if (const OnBytes onBytes = m_onBytes)
        onBytes({ m_buffer.data(), count });
}

void PacedConnection::write(std::string bytes)
{
    if (m_output.empty())
        m_output = std::move(bytes);
    else
        m_output += bytes;
    if (!m_awaitsWritable)
        flush();
}

void PacedConnection::flush()
{
    while (m_socket.is_open() && m_sent < m_output.size()) {
        ErrorCode error;
        const std::size_t left = m_output.size() - m_sent;
        m_sent += m_socket.write_some(boost::asio::buffer(m_output.data() + m_sent, left), error);
        if (wouldBlock(error)) {
            m_awaitsWritable = true;
            m_socket.async_wait(
                Tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode& waitError) {
                    self->m_awaitsWritable = false;
                    if (!waitError)
                        self->flush();
                });
            return;
        }
        if (error)
            return; // reading reports the end
    }
    m_output.clear();
    m_sent = 0;
    if (m_closesAfterWriting && m_socket.is_open()) {
        ErrorCode ignored;
        m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    }
}

void PacedConnection::closeAfterWriting()
{
    m_closesAfterWriting = true;
    m_onBytes = nullptr;
    if (!m_awaitsWritable)
        flush();
}

void PacedConnection::close()
{
    m_onBytes = nullptr;
    m_onEnd = nullptr;
    ErrorCode ignored;
    m_socket.close(ignored);
}

void PacedConnection::reset()
{
    ErrorCode ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void PacedConnection::end(ConnectionEnd how)
{
    const OnEnd onEnd = std::move(m_onEnd);
    close();
    if (onEnd)
        onEnd(how);
}

void connectPaced(boost::asio::io_context& io, const std::string& address, std::chrono::milliseconds timeout,
    int receiveBuffer, std::function<void(std::shared_ptr<PacedConnection>)> done)
{
    auto socket = std::make_shared<Tcp::socket>(io);
    auto timer = std::make_shared<boost::asio::steady_timer>(io, timeout);
    ErrorCode ignored;
    socket->open(Tcp::v4(), ignored);
    if (receiveBuffer > 0)
        socket->set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer), ignored);
    timer->async_wait([socket](const ErrorCode& error) {
        if (!error)
            socket->close();
    });
    socket->async_connect(
        endpointOf(address), [socket, timer, done = std::move(done)](const ErrorCode& error) {
            const bool isInTime = timer->cancel() > 0;
            done(error || !isInTime ? nullptr : std::make_shared<PacedConnection>(std::move(*socket)));
        });
}

} // namespace Ebonystack::Soak
