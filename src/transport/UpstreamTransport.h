// Interface through which the hop service sends requests to the upstream beside its node.
#pragma once

#include "transport/HttpCodec.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Ebonystack {

/// How an exchange with the upstream ended.
struct UpstreamResult {
    enum class Kind : std::uint8_t {
        Responded, ///< `response` is the complete response to the request
        NotConnected, ///< nothing was sent
        Lost, ///< the connection ended before a complete response
        Invalid, ///< the received bytes are not a response to this request
    };
    Kind kind { Kind::Lost };
    HttpResponse response;
    bool nothingReceived { false }; ///< no byte of a response was received
    bool reused { false }; ///< the connection had carried an earlier request
    std::uint64_t connection { 0 }; ///< number of the connection since the start, for logs; 0: none

    auto operator<=>(const UpstreamResult&) const = default;
};

struct UpstreamRequest {
    std::string head; ///< the bytes before the body
    Body body;
    std::string id; ///< request id; a response that echoes another one is skipped, one without it is invalid
    bool isHeadRequest { false };
    bool idempotent { false };

    auto operator<=>(const UpstreamRequest&) const = default;
};

using ExchangeId = std::uint64_t;

class UpstreamTransport {
public:
    using Callback = std::function<void(UpstreamResult)>;

    virtual ~UpstreamTransport() = default;

    /// Sends a request. `done` is called once, after `send` has returned, unless the exchange is aborted
    /// before.
    virtual ExchangeId send(UpstreamRequest, Callback done) = 0;
    /// Aborts an exchange in a way that the upstream notices.
    virtual void abort(ExchangeId) = 0;
};

} // namespace Ebonystack
