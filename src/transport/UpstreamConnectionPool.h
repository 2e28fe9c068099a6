// Pool of persistent connections to the upstream beside this node, with one request at a time on each. The
// result of an exchange tells whether the request may have run. A non-idempotent request uses only a new
// connection, or one that was used a short time ago and is found to be still open.
#pragma once

#include "coordination/MemoryAdmission.h"
#include "protocol/PlatformAdapter.h"
#include "state/Time.h"
#include "transport/UpstreamTransport.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class UpstreamConnectionPool : public UpstreamTransport {
public:
    /// `fields` and `admission` outlive the pool. A response that `admission` has no memory for is not read
    /// until it has. A longer response than a share of its limit is invalid.
    UpstreamConnectionPool(
        boost::asio::io_context&, std::string address, const FieldNames& fields, MemoryAdmission& admission);
    ~UpstreamConnectionPool() override;

    ExchangeId send(UpstreamRequest, Callback done) override;
    /// Closes the exchange's connection, so that the upstream notices.
    void abort(ExchangeId) override;
    /// Closes idle connections whose keep-alive timeout is near. Called about once a second.
    void closeIdle();
    /// Uses another address for new connections and closes the idle ones.
    void setAddress(std::string address);

    /// The number of open connections.
    std::size_t connectionCount() const;
    /// The number of responses that are not read for want of memory.
    std::size_t pausedCount() const;
    /// The number of connections opened since the start.
    std::uint64_t openedCount() const;
    /// The number of responses that were skipped because they belong to no request under way.
    std::uint64_t strayResponseCount() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
