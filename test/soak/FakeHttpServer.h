// An HTTP server of the soak's fakes. It decides itself when and how it breaks the protocol.
#pragma once

#include "transport/ByteStream.h"
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
    using ResponseCallback = std::function<void(const std::string& bytes)>;
    using RequestHandler = std::function<void(const HttpRequest&, ResponseCallback)>;

    FakeHttpServer(boost::asio::io_context&, std::string address, RequestHandler handler);
    void listen();
    /// Refuses new connections until it listens again.
    void stopListening() { m_acceptor.reset(); }
    void closeConnections();
    /// Decides about each response whether it is sent once more, when the next one is expected on its
    /// connection.
    void setRepeatsLate(std::function<bool()> repeatsLate) { m_repeatsLate = std::move(repeatsLate); }

private:
    void accept(boost::asio::ip::tcp::socket);

    boost::asio::io_context& m_io;
    const std::string m_address;
    RequestHandler m_handler;
    std::function<bool()> m_repeatsLate { [] { return false; } };
    std::set<std::shared_ptr<ByteStream>> m_streams;
    std::optional<StreamAcceptor> m_acceptor;
};

/// Returns the bytes of a response; `fields` are complete lines.
std::string fakeResponse(int status, const std::string& body, const std::string& fields = {});

} // namespace Ebonystack::Soak
