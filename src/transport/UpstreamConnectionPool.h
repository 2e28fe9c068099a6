// Kept connections to the upstream beside this node, one request at a time on each. It tells apart what may
// have run from what can't have: a request that must not be repeated goes only over a connection that is
// known to be open.
#pragma once

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
    /// `fields` outlives the pool. Bodies above `bodyBytes` are taken as invalid.
    UpstreamConnectionPool(
        boost::asio::io_context&, std::string address, const FieldNames& fields, std::uint64_t bodyBytes);
    ~UpstreamConnectionPool() override;

    ExchangeId send(UpstreamRequest, Done done) override;
    /// Closes the exchange's connection, by which the upstream learns of it.
    void abort(ExchangeId) override;
    /// Closes connections that were idle for too long. Call it about once a second.
    void closeIdle();
    /// Closes all idle connections and uses this address from now on.
    void setAddress(std::string address);

    std::size_t connections() const;
    std::uint64_t opened() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
