// Listens on an address and passes each accepted connection to a callback.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class StreamAcceptor {
public:
    using Accept = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Throws UserError when `address` ("ip:port") can't be listened on. `receiveBufferBytes`: of each
    /// accepted connection; 0: the system's default, which it may raise.
    StreamAcceptor(
        boost::asio::io_context&, const std::string& address, Accept accept, int receiveBufferBytes = 0);
    ~StreamAcceptor();

    std::uint16_t port() const;
    void close();

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
