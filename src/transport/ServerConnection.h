// The server's side of one HTTP/1.1 connection: reads requests, writes answers, one exchange at a time.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Refusal.h"
#include "protocol/Settings.h"
#include "transport/Awaitable.h"
#include "transport/PeerSecurity.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <tl/expected.hpp>

namespace Ebonystack {

/// Belongs to one worker's thread. After a write that returns false the connection is useless.
class ServerConnection {
public:
    virtual ~ServerConnection() = default;

    /// Agrees on the connection's encryption, if it has one; false when the other side is not accepted.
    virtual Awaitable<bool> handshake() = 0;
    /// The VM that the other side's certificate names; empty on plain connections.
    virtual std::string peerName() const = 0;

    /// The next request's head. Without a refusal in the error, the connection ended between requests.
    virtual Awaitable<tl::expected<RequestHead, std::optional<Refusal>>> readHead() = 0;
    /// Reads some of the request's body; zero bytes mean that it is complete.
    virtual Awaitable<tl::expected<std::size_t, Refusal>> readBody(std::span<char>) = 0;
    virtual bool bodyComplete() const = 0;

    /// Tells the other side to send the body that it announced with "Expect: 100-continue".
    virtual Awaitable<bool> writeContinue() = 0;
    /// Reads and writes for the current request fail when they are not complete at `deadline`.
    virtual void setDeadline(Instant deadline) = 0;
    /// Writes a whole answer.
    virtual Awaitable<bool> write(const ResponseHead&, std::string_view body) = 0;
    /// Writes the head of an answer whose body follows in parts.
    virtual Awaitable<bool> writeHead(const ResponseHead&) = 0;
    /// Writes a part of the body; the last part ends the answer.
    virtual Awaitable<bool> writeBody(std::span<const char>, bool last) = 0;

    /// Calls `gone` once when the other side closes while no read is under way.
    virtual void watchForClose(std::function<void()> gone) = 0;
    virtual void stopWatching() = 0;

    /// Closes at once; the other side sees a body that was not complete as truncated.
    virtual void close() = 0;
    /// Stops sending, discards for a moment what still arrives so that the answer is not lost, and closes.
    virtual Awaitable<> closeGently() = 0;
};

/// Encrypted when `security` is given and not plain.
std::unique_ptr<ServerConnection> makeServerConnection(
    boost::asio::ip::tcp::socket, const ConnectionLimits&, const PeerSecurity* security = nullptr);

} // namespace Ebonystack
