// One TCP connection of the node's event loop: bytes in by callback, bytes out through a buffer that is
// written once per turn of the loop. A connection that goes silent is ended by TCP's own timers.
#pragma once

#include "state/Time.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Ebonystack {

/// How a connection ended.
enum class StreamEnd {
    Closed, ///< the other side closed in order
    Broken, ///< reset, or silent for too long
};

/// Belongs to the event loop's thread. Calls neither callback after `close`.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
public:
    using OnBytes = std::function<void(std::string_view)>;
    using OnEnd = std::function<void(StreamEnd)>;

    explicit ByteStream(boost::asio::ip::tcp::socket);
    ByteStream(const ByteStream&) = delete;
    ByteStream& operator=(const ByteStream&) = delete;

    /// Begins to read. `onEnd` is called once, when the other side ends the connection.
    void start(OnBytes onBytes, OnEnd onEnd);
    void write(std::string_view bytes);
    /// Bytes that the other side has not taken yet.
    std::size_t unsent() const { return m_output.size() - m_sent; }
    /// Closes once all is written; what arrives until then is discarded.
    void closeAfterWriting();
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /// Whether the other side has closed or sent something that was not read yet; asks the socket.
    bool hasUnreadData();

private:
    void awaitReadable();
    void onReadable();
    void flush();
    void awaitWritable();
    void end(StreamEnd);
    void finishClosing();

    boost::asio::ip::tcp::socket m_socket;
    OnBytes m_onBytes;
    OnEnd m_onEnd;
    std::string m_output;
    std::size_t m_sent { 0 }; // of m_output
    bool m_flushPosted { false };
    bool m_awaitsWritable { false };
    bool m_closesAfterWriting { false };
};

/// Starts a stream whose callbacks run only while both `owner` and `held` live: `onBytes` and `onEnd` are
/// called on the owner, with `held` and then the stream's argument.
template <typename Owner, typename Held, typename Bytes, typename End>
void startStream(
    ByteStream& stream, std::weak_ptr<Owner> owner, std::weak_ptr<Held> held, Bytes onBytes, End onEnd)
{
    const auto call = [owner = std::move(owner), held = std::move(held)](auto&& method, auto argument) {
        const auto self = owner.lock();
        const auto connection = held.lock();
        if (self && connection)
            std::invoke(method, *self, connection, argument);
    };
    stream.start([call, onBytes](std::string_view bytes) { call(onBytes, bytes); },
        [call, onEnd](StreamEnd how) { call(onEnd, how); });
}

/// Starts `holder->stream`, whose callbacks run only while `owner` lives and the holder has not taken another
/// stream in its place: `onBytes` and `onEnd` are called on the owner, with the holder and the stream's
/// argument.
template <typename Owner, typename Holder, typename Bytes, typename End>
void startCurrentStream(
    std::weak_ptr<Owner> owner, const std::shared_ptr<Holder>& holder, Bytes onBytes, End onEnd)
{
    const std::weak_ptr<ByteStream> stream = holder->stream;
    const auto call = [owner = std::move(owner), holder, stream](auto&& method, auto argument) {
        const auto self = owner.lock();
        if (self && holder->stream == stream.lock())
            std::invoke(method, *self, holder, argument);
    };
    holder->stream->start([call, onBytes](std::string_view bytes) { call(onBytes, bytes); },
        [call, onEnd](StreamEnd how) { call(onEnd, how); });
}

/// Opens connections, at most one call of `done` each: null when there is none after `timeout`.
void connectStream(boost::asio::io_context&, const std::string& address, Duration timeout,
    std::function<void(std::shared_ptr<ByteStream>)> done);

} // namespace Ebonystack
