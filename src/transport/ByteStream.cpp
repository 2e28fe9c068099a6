// Non-blocking reads and writes on readiness events of the event loop.
#include "transport/ByteStream.h"

#include "transport/SystemClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Ebonystack {
namespace {

namespace Asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = Asio::ip::tcp;

/// A connection to another VM is closed if sent bytes stay unacknowledged, or the peer has no room, for this
/// time.
constexpr unsigned tcpUserTimeoutMilliseconds = 2500;
/// TCP keep-alive: an idle connection is probed after 3 s and then once a second, and closed after two probes
/// without a response.
constexpr int keepAliveIdleSeconds = 3;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 2;
/// Shared by all streams: the event loop has one thread, and callbacks copy the bytes that they keep.
std::array<char, 65536> sharedReadBuffer;

void setOption(int socket, int level, int name, int value)
{
    // A system without the option keeps its default timers, which are longer.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

void configureSocket(Tcp::socket& socket, PeerLocation location)
{
    ErrorCode ignored;
    socket.non_blocking(true, ignored);
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    // Not on the same VM: the system also counts the time in which a peer answers all probes and has no room.
    if (location == PeerLocation::OtherVm)
        setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMilliseconds);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbeCount);
}

std::optional<Tcp::endpoint> parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    ErrorCode error;
    const auto host = Asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [parseEnd, parseError] = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parseError != std::errc() || parseEnd != end)
        return std::nullopt;
    return Tcp::endpoint(host, port);
}

StreamEnd endOf(const ErrorCode& error)
{
    if (error == Asio::error::eof)
        return StreamEnd::Closed;
    return error == Asio::error::connection_reset ? StreamEnd::Reset : StreamEnd::Broken;
}

} // namespace

ByteStream::ByteStream(Tcp::socket socket, PeerLocation location)
    : m_socket(std::move(socket))
{
    configureSocket(m_socket, location);
}

void ByteStream::start(OnBytes onBytes, OnEnd onEnd)
{
    m_onBytes = std::move(onBytes);
    m_onEnd = std::move(onEnd);
    awaitReadable();
}

void ByteStream::write(std::string_view bytes)
{
    if (!isOpen() || m_hasFailed)
        return;
    m_output.append(bytes);
    m_written += bytes.size();
    flushSoon();
}

void ByteStream::writeBody(const Body& body)
{
    if (!isOpen() || m_hasFailed)
        return;
    m_output.append(body);
    m_written += body.size();
    flushSoon();
}

void ByteStream::flushSoon()
{
    if (m_flushPosted || m_awaitsWritable)
        return;
    m_flushPosted = true;
    Asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->flush();
    });
}

void ByteStream::closeAfterWriting(Duration limit)
{
    m_closesAfterWriting = true;
    m_onBytes = nullptr;
    m_onEnd = nullptr;
    resumeReading();
    if (unsent() == 0)
        shutdownSend();
    closeWhenAcknowledged(monotonicNow() + limit);
}

void ByteStream::close()
{
    m_onBytes = nullptr;
    m_onEnd = nullptr;
    m_output.clear();
    ErrorCode ignored;
    m_socket.close(ignored);
}

std::size_t ByteStream::unacknowledged()
{
    if (!isOpen())
        return 0;
    int inSystem = 0;
    if (::ioctl(m_socket.native_handle(), SIOCOUTQ, &inSystem) != 0)
        inSystem = 0;
    return unsent() + static_cast<std::size_t>(inSystem);
}

bool ByteStream::hasUnreadData()
{
    char byte = 0;
    const auto count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return false;
    m_hasFailed = m_hasFailed || count < 0;
    return true;
}

void ByteStream::resumeReading()
{
    if (std::exchange(m_isReadingPaused, false) && isOpen())
        awaitReadable();
}

bool ByteStream::hasPeerEnded()
{
    pollfd poll { m_socket.native_handle(), POLLRDHUP, 0 };
    return !isOpen() || ::poll(&poll, 1, 0) > 0;
}

void ByteStream::awaitReadable()
{
    if (m_isReadingPaused || m_awaitsReadable)
        return;
    m_awaitsReadable = true;
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
        self->m_awaitsReadable = false;
        if (!error && self->isOpen() && !self->m_isReadingPaused)
            self->onReadable();
    });
}

void ByteStream::onReadable()
{
    ErrorCode error;
    const std::size_t count = m_socket.read_some(Asio::buffer(sharedReadBuffer), error);
    if (error == Asio::error::would_block || error == Asio::error::try_again)
        return awaitReadable();
    if (error)
        return end(m_hasFailed ? StreamEnd::Broken : endOf(error));
    // A copy: the callback may close the stream, which resets m_onBytes.
    if (const OnBytes onBytes = m_onBytes)
        onBytes({ sharedReadBuffer.data(), count });
    if (isOpen())
        awaitReadable();
}

void ByteStream::flush()
{
    if (!isOpen() || unsent() == 0)
        return;
    while (unsent() > 0) {
        const std::string_view front = m_output.front();
        ErrorCode error;
        const std::size_t count = m_socket.write_some(Asio::buffer(front), error);
        if (error && error != Asio::error::would_block && error != Asio::error::try_again)
            return onWriteFailed();
        if (!error)
            m_output.removeFront(count);
        if (error || count < front.size())
            return awaitWritable();
    }
    if (m_closesAfterWriting)
        shutdownSend();
}

/// Bytes that the peer sent before the error are still to be read, so the read side reports the end.
void ByteStream::onWriteFailed()
{
    m_hasFailed = true;
    m_output.clear();
    if (m_closesAfterWriting)
        close();
}

void ByteStream::awaitWritable()
{
    m_awaitsWritable = true;
    m_socket.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode& error) {
        self->m_awaitsWritable = false;
        if (!error)
            self->flush();
    });
}

void ByteStream::end(StreamEnd how)
{
    if (m_closesAfterWriting && how == StreamEnd::Closed && unacknowledged() > 0)
        return; // closeWhenAcknowledged() closes
    const OnEnd onEnd = std::exchange(m_onEnd, nullptr);
    close();
    if (onEnd)
        onEnd(how);
}

void ByteStream::shutdownSend()
{
    ErrorCode ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

/// Closes the connection some time after the call at the earliest: closing a socket with unread bytes resets
/// the connection, and the peer could lose the response.
void ByteStream::closeWhenAcknowledged(Instant limit)
{
    constexpr auto lingerTime = std::chrono::milliseconds(500);
    auto timer = std::make_shared<Asio::steady_timer>(m_socket.get_executor(), lingerTime);
    timer->async_wait([self = shared_from_this(), timer, limit](const ErrorCode&) {
        if (self->unacknowledged() == 0 || monotonicNow() >= limit)
            self->close();
        else
            self->closeWhenAcknowledged(limit);
    });
}

void connectStream(Asio::io_context& io, const std::string& address, PeerLocation location, Duration timeout,
    std::function<void(std::shared_ptr<ByteStream>)> done)
{
    struct Attempt {
        explicit Attempt(Asio::io_context& context)
            : socket(context)
            , timer(context)
        {
        }
        Tcp::socket socket;
        Asio::steady_timer timer;
    };
    auto attempt = std::make_shared<Attempt>(io);
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        Asio::post(io, [done = std::move(done)] { done(nullptr); });
        return;
    }
    attempt->timer.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(timeout));
    attempt->timer.async_wait([attempt](const ErrorCode& error) {
        ErrorCode ignored;
        if (!error)
            attempt->socket.close(ignored);
    });
    // Before the connection is opened: a window that was announced is not taken back.
    ErrorCode ignored;
    attempt->socket.open(endpoint->protocol(), ignored);
    if (location == PeerLocation::SameVm)
        setOption(attempt->socket.native_handle(), SOL_SOCKET, SO_RCVBUF, localReceiveBufferBytes);
    attempt->socket.async_connect(
        *endpoint, [attempt, location, done = std::move(done)](const ErrorCode& error) {
            attempt->timer.cancel();
            done(error || !attempt->socket.is_open()
                    ? nullptr
                    : std::make_shared<ByteStream>(std::move(attempt->socket), location));
        });
}

} // namespace Ebonystack
