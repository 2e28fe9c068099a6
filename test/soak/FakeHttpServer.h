// An HTTP server of the soak's fakes. It decides itself when and how it breaks the protocol.
#pragma once

#include "PacedConnection.h"
#include "transport/HttpCodec.h"
#include "transport/StreamAcceptor.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Ebonystack::Soak {

/// Serves requests on many connections. The handler may respond later; an empty response closes the
/// connection.
class FakeHttpServer {
public:
    /// Returns false when the connection is gone.
    using ResponseCallback = std::function<bool(const std::string& bytes)>;
    using RequestHandler = std::function<void(const HttpRequest&, ResponseCallback)>;
    /// Gets a request without its body, which is still to come: `bytesLeft`. Returns whether it takes over
    /// the connection; it then gets the bytes that come, and closes or resets the connection.
    using EarlyHandler = std::function<bool(
        const HttpRequest&, std::size_t bytesLeft, const std::shared_ptr<PacedConnection>&)>;

    FakeHttpServer(boost::asio::io_context&, std::string address, RequestHandler handler);
    void listen();
    /// Refuses new connections until it listens again.
    void stopListening() { m_acceptor.reset(); }
    /// Those that are taken over are reset: what they have sent without a length would look complete.
    void closeConnections();
    void resetConnections();
    void reset(const std::shared_ptr<PacedConnection>&);
    void setEarlyHandler(EarlyHandler handler) { m_early = std::move(handler); }
    /// Decides about each response whether it is sent once more, when the next one is expected on its
    /// connection.
    void setRepeatsLate(std::function<bool()> repeatsLate) { m_repeatsLate = std::move(repeatsLate); }

private:
    struct Exchange; // the request that is being received on a connection

    void accept(boost::asio::ip::tcp::socket);
    void forget(const std::shared_ptr<PacedConnection>&);
    void onBytes(const std::shared_ptr<PacedConnection>&, const std::shared_ptr<Exchange>&, std::string_view);

    boost::asio::io_context& m_io;
    const std::string m_address;
    RequestHandler m_handler;
    EarlyHandler m_early;
    std::function<bool()> m_repeatsLate { [] { return false; } };
    std::set<std::shared_ptr<PacedConnection>> m_connections;
    std::set<std::shared_ptr<PacedConnection>> m_takenOver; // some of m_connections
    std::optional<StreamAcceptor> m_acceptor;
};

/// Returns the bytes of a response; `fields` are complete lines.
std::string fakeResponse(int status, const std::string& body, const std::string& fields = {});

} // namespace Ebonystack::Soak
