// Kept connections to the upstream beside this node, one request at a time on each. It tells apart what may
// have run from what can't have: a request that must not be repeated goes only over a connection that is
// known to be open.
#pragma once

#include "protocol/PlatformDialect.h"
#include "state/Time.h"
#include "transport/HttpCodec.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Ebonystack {

/// How an exchange with the upstream ended.
struct UpstreamResult {
    enum class Kind : std::uint8_t {
        Answered, ///< `response` is a whole answer to the request
        NotConnected, ///< nothing was sent
        Lost, ///< the connection ended before a whole answer
        Invalid, ///< what came is no answer to this request
    };
    Kind kind { Kind::Lost };
    HttpResponse response;
    bool silent { false }; ///< lost without a byte of an answer
    bool reused { false }; ///< the connection had served a request before

    auto operator<=>(const UpstreamResult&) const = default;
};

struct UpstreamRequest {
    std::string bytes; ///< the whole request
    std::string id; ///< that the answer has to echo
    bool toHead { false };
    bool repeatable { false };

    auto operator<=>(const UpstreamRequest&) const = default;
};

using ExchangeId = std::uint64_t;

/// Belongs to the event loop's thread.
class UpstreamPool {
public:
    using Done = std::function<void(UpstreamResult)>;

    /// `fields` outlives the pool. Bodies above `bodyBytes` are taken as invalid.
    UpstreamPool(
        boost::asio::io_context&, std::string address, const FieldNames& fields, std::uint64_t bodyBytes);
    ~UpstreamPool();

    /// Sends a request; `done` is called once, unless the exchange is aborted before.
    ExchangeId send(UpstreamRequest, Done done);
    /// Gives an exchange up and closes its connection, by which the upstream learns of it.
    void abort(ExchangeId);
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
