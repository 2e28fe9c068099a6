// The connections of callers: reads one request at a time, hands it to the entry, and writes its answer. It
// notices when a caller is gone, also while its request is under way.
#pragma once

#include "transport/EntryService.h"
#include "transport/SidecarState.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class CallerServer {
public:
    /// Both outlive the server.
    CallerServer(SidecarState&, EntryService&);
    ~CallerServer();

    void accept(boost::asio::ip::tcp::socket);
    /// Closes connections that are idle or too slow. Call it a few times a second.
    void tick(Instant now);
    std::size_t connections() const;
    /// Connections with a request that is being read or served, or an answer that is being written.
    std::size_t busy() const;
    /// Closes the connections without a request.
    void closeIdle();

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
