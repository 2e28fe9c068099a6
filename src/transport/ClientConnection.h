// The client's side of one HTTP/1.1 connection: one exchange at a time, never reused after one that broke.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/Time.h"
#include "transport/Awaitable.h"
#include "transport/HttpAddress.h"
#include "transport/PeerSecurity.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <span>
#include <string_view>
#include <tl/expected.hpp>

namespace Ebonystack {

/// Why an exchange did not go on.
enum class ExchangeFailure {
    NotSent, ///< no byte of the request reached the connection
    Broken, ///< something was sent, and the exchange ended early
    Truncated, ///< the answer began and did not come whole
    Malformed, ///< the answer is not well-formed, or does not say where it ends
};

/// Belongs to one worker's thread. After any failure the connection must be dropped.
class ClientConnection {
public:
    virtual ~ClientConnection() = default;

    /// Every later operation fails when it is not complete at `deadline`.
    virtual void setDeadline(Instant deadline) = 0;

    /// Sends a request whole.
    virtual Awaitable<tl::expected<void, ExchangeFailure>> send(const RequestHead&, std::string_view body)
        = 0;
    /// Sends the head of a request whose body follows in parts.
    virtual Awaitable<tl::expected<void, ExchangeFailure>> sendHead(const RequestHead&) = 0;
    virtual Awaitable<tl::expected<void, ExchangeFailure>> sendBody(std::span<const char>, bool last) = 0;

    /// The head of the answer; informational answers are passed over.
    virtual Awaitable<tl::expected<ResponseHead, ExchangeFailure>> readHead() = 0;
    /// Reads some of the answer's body; zero bytes mean that it is complete.
    virtual Awaitable<tl::expected<std::size_t, ExchangeFailure>> readBody(std::span<char>) = 0;
    virtual bool bodyComplete() const = 0;

    /// Whether another request may follow: the exchange is complete and nothing else has arrived.
    virtual bool reusable() = 0;
    /// Closes at once; operations under way fail.
    virtual void close() = 0;
};

/// The other end of a connection: its address, and who its certificate must name.
struct ConnectTarget {
    std::string address; ///< "ip:port"
    std::string vm; ///< empty where there are no certificates

    auto operator<=>(const ConnectTarget&) const = default;
};

/// Connects by `deadline`; nothing when the address can't be reached or another VM answers. Encrypted when
/// `security` is given and not plain.
Awaitable<std::unique_ptr<ClientConnection>> connectClient(
    ConnectTarget, Instant deadline, const PeerSecurity* security = nullptr);

} // namespace Ebonystack
