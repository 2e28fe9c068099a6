// A connection of the soak's fakes and callers. They pace its reading themselves, and may reset it.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Ebonystack::Soak {

/// How the other side has ended a connection.
enum class ConnectionEnd { Orderly, Broken };

/// No callback is called after `close` or `reset`.
class PacedConnection : public std::enable_shared_from_this<PacedConnection> {
public:
    using OnBytes = std::function<void(std::string_view)>;
    using OnEnd = std::function<void(ConnectionEnd)>;

    explicit PacedConnection(boost::asio::ip::tcp::socket);
    PacedConnection(const PacedConnection&) = delete;
    PacedConnection& operator=(const PacedConnection&) = delete;

    void start(OnBytes, OnEnd);
    void setOnBytes(OnBytes onBytes) { m_onBytes = std::move(onBytes); }
    /// Reads nothing until `resumeReading`. A break of the connection is noticed all the same.
    void pauseReading();
    /// `maxBytes`: of each read.
    void resumeReading(std::size_t maxBytes = maxReadBytes);
    void write(std::string bytes);
    /// Closes in an orderly way once all bytes are written; whatever comes until then is discarded.
    void closeAfterWriting();
    void close();
    /// Closes as the system does when a process ends with unread bytes.
    void reset();

private:
    static constexpr std::size_t maxReadBytes = 64 << 10;

    void awaitReadable();
    void awaitBreak();
    void read();
    void flush();
    void end(ConnectionEnd);

    boost::asio::ip::tcp::socket m_socket;
    OnBytes m_onBytes;
    OnEnd m_onEnd;
    std::array<char, maxReadBytes> m_buffer {};
    std::size_t m_maxRead { maxReadBytes };
    std::string m_output;
    std::size_t m_sent { 0 }; // bytes of m_output that are written to the socket
    bool m_isPaused { false };
    bool m_awaitsReadable { false };
    bool m_awaitsWritable { false };
    bool m_closesAfterWriting { false };
};

/// Calls `done` with null if the connection is not established within `timeout`. `receiveBuffer`: bytes that
/// the system takes for the caller; 0: its default.
void connectPaced(boost::asio::io_context&, const std::string& address, std::chrono::milliseconds timeout,
    int receiveBuffer, std::function<void(std::shared_ptr<PacedConnection>)> done);

} // namespace Ebonystack::Soak
