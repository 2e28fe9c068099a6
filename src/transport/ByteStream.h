// One TCP connection on the node's event loop. Received bytes are passed to a callback; sent bytes are
// buffered and written once per turn of the loop. TCP keep-alive and, towards other VMs, the TCP user timeout
// close a connection whose peer is silent.
#pragma once

#include "state/Time.h"
#include "transport/OutputQueue.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Ebonystack {

/// How a connection ended.
enum class StreamEnd {
    Closed, ///< the peer closed the connection normally, and no error was reported before
    Reset, ///< the peer reset the connection
    Broken, ///< timed out, or ended after an error on any operation
};

/// Where the peer of a connection is.
enum class PeerLocation {
    SameVm, ///< its system acknowledges for as long as this one runs: only its room can be lacking
    OtherVm, ///< may be cut off, or lose power
};

/// The receive buffer of connections on the same VM. What the system has received and the process has not
/// read counts as memory of the process; the default grows to some megabytes a connection.
constexpr int localReceiveBufferBytes = 16 << 10;

/// Belongs to the event loop's thread. No callback is called after `close`.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
public:
    using OnBytes = std::function<void(std::string_view)>;
    using OnEnd = std::function<void(StreamEnd)>;

    ByteStream(boost::asio::ip::tcp::socket, PeerLocation);
    ByteStream(const ByteStream&) = delete;
    ByteStream& operator=(const ByteStream&) = delete;

    /// Starts reading. `onEnd` is called at most once, when the peer closes the connection or it breaks.
    void start(OnBytes onBytes, OnEnd onEnd);
    void write(std::string_view bytes);
    /// A long body is kept by reference until it is written.
    void writeBody(const Body&);
    /// While reading is paused, the peer's bytes and its end wait in the system.
    void pauseReading() { m_isReadingPaused = true; }
    void resumeReading();
    /// Number of bytes that were not passed to the socket yet.
    std::size_t unsent() const { return m_output.size(); }
    /// The number of bytes passed to `write` so far: the position of the end of the last message.
    std::uint64_t written() const { return m_written; }
    /// Whether the peer's system has acknowledged the bytes before a position. Makes a system call.
    bool isAcknowledged(std::uint64_t position) { return unacknowledged() <= m_written - position; }
    /// Closes the connection after all bytes are acknowledged, or after `limit`. Bytes received until then
    /// are discarded.
    void closeAfterWriting(Duration limit = std::chrono::seconds(10));
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /// Number of bytes that the peer's system has not acknowledged, also those not passed to the socket.
    /// Makes a system call.
    std::size_t unacknowledged();
    /// Whether an operation on the socket has failed, so that the connection ends once its received bytes are
    /// read.
    bool hasFailed() const { return m_hasFailed; }
    /// Whether the peer has closed the connection or sent bytes that are not read yet. Makes a system call.
    bool hasUnreadData();
    /// Whether the peer has closed the connection, also if bytes before that are not read yet. Makes a system
    /// call.
    bool hasPeerEnded();

private:
    void awaitReadable();
    void onReadable();
    void flushSoon();
    void flush();
    void onWriteFailed();
    void awaitWritable();
    void end(StreamEnd);
    void shutdownSend();
    void closeWhenAcknowledged(Instant limit);

    boost::asio::ip::tcp::socket m_socket;
    OnBytes m_onBytes;
    OnEnd m_onEnd;
    OutputQueue m_output;
    std::uint64_t m_written { 0 };
    bool m_isReadingPaused { false };
    bool m_awaitsReadable { false };
    bool m_flushPosted { false };
    bool m_awaitsWritable { false };
    bool m_closesAfterWriting { false };
    // Once set, the end is Broken. The system reports an error to one operation only; after a write that
    // failed with a reset, a read returns the same as after a normal close.
    bool m_hasFailed { false };
};

/// Starts a stream whose callbacks run only while both `owner` and `context` exist: `onBytes` and `onEnd` are
/// called on the owner, with `context` and the stream's argument.
template <typename Owner, typename Context, typename Bytes, typename End>
void startStream(
    ByteStream& stream, std::weak_ptr<Owner> owner, std::weak_ptr<Context> context, Bytes onBytes, End onEnd)
{
    const auto call = [owner = std::move(owner), context = std::move(context)](auto&& method, auto argument) {
        const auto self = owner.lock();
        const auto lockedContext = context.lock();
        if (self && lockedContext)
            std::invoke(method, *self, lockedContext, argument);
    };
    stream.start([call, onBytes](std::string_view bytes) { call(onBytes, bytes); },
        [call, onEnd](StreamEnd how) { call(onEnd, how); });
}

/// Starts `holder->stream`, whose callbacks run only while both `owner` and `holder` exist and
/// `holder->stream` is still the same stream: `onBytes` and `onEnd` are called on the owner, with the holder
/// and the stream's argument.
template <typename Owner, typename Holder, typename Bytes, typename End>
void startCurrentStream(
    std::weak_ptr<Owner> owner, const std::shared_ptr<Holder>& holder, Bytes onBytes, End onEnd)
{
    const std::weak_ptr<ByteStream> stream = holder->stream;
    const auto whileCurrent = [stream](auto&& method) {
        return [stream, method](Owner& self, const std::shared_ptr<Holder>& current, auto argument) {
            if (current->stream == stream.lock())
                std::invoke(method, self, current, argument);
        };
    };
    // A callback that held the holder would be a cycle: the holder has the stream.
    startStream(*holder->stream, std::move(owner), std::weak_ptr<Holder>(holder), whileCurrent(onBytes),
        whileCurrent(onEnd));
}

/// Connects to `address` ("ip:port"). Calls `done` at most once, with null if the connection failed or was
/// not established within `timeout`.
void connectStream(boost::asio::io_context&, const std::string& address, PeerLocation, Duration timeout,
    std::function<void(std::shared_ptr<ByteStream>)> done);

/// Connects to an address of another VM.
inline void connectStream(boost::asio::io_context& io, const std::string& address, Duration timeout,
    std::function<void(std::shared_ptr<ByteStream>)> done)
{
    connectStream(io, address, PeerLocation::OtherVm, timeout, std::move(done));
}

} // namespace Ebonystack
