// The server for callers' connections: reads one request at a time, passes it to the entry service and writes
// the response. If a caller closes its connection, the open request is cancelled.
#pragma once

#include "transport/EntryService.h"
#include "transport/SidecarState.h"

#include <boost/asio/ip/tcp.hpp>
#include <compare>
#include <cstddef>
#include <memory>

namespace Ebonystack {

/// Callers that do not have their whole response yet.
struct SlowReaders {
    std::size_t count { 0 }; ///< those whose response was written over a second ago
    std::size_t unreadBytes { 0 }; ///< of all responses, as of the last tick

    auto operator<=>(const SlowReaders&) const = default;
};

/// Belongs to the event loop's thread.
class CallerServer {
public:
    /// Both must outlive the server.
    CallerServer(SidecarState&, EntryService&);
    ~CallerServer();

    void accept(boost::asio::ip::tcp::socket);
    /// Closes connections that are idle for too long or too slow. Called a few times a second.
    void tick(Instant now);
    std::size_t connectionCount() const;
    /// Number of connections with a request that is being read or served, or a response that the caller's
    /// system does not have yet.
    std::size_t busyCount() const;
    SlowReaders slowReaders() const;
    /// Closes the connections that have no request or response in progress.
    void closeIdle();

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
