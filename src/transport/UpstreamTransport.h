// How the hop service runs requests at the upstream beside its node.
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
        Responded, ///< `response` is a whole answer to the request
        NotConnected, ///< nothing was sent
        Lost, ///< the connection ended before a whole answer
        Invalid, ///< what came is no answer to this request
    };
    Kind kind { Kind::Lost };
    HttpResponse response;
    bool nothingReceived { false }; ///< lost without a byte of an answer
    bool reused { false }; ///< the connection had served a request before

    auto operator<=>(const UpstreamResult&) const = default;
};

struct UpstreamRequest {
    std::string bytes; ///< the whole request
    std::string id; ///< that the answer has to echo
    bool isHeadRequest { false };
    bool idempotent { false };

    auto operator<=>(const UpstreamRequest&) const = default;
};

using ExchangeId = std::uint64_t;

class UpstreamTransport {
public:
    using Done = std::function<void(UpstreamResult)>;

    virtual ~UpstreamTransport() = default;

    /// Sends a request; `done` is called once and not from within, unless the exchange is aborted before.
    virtual ExchangeId send(UpstreamRequest, Done done) = 0;
    /// Gives an exchange up, so that the upstream learns of it.
    virtual void abort(ExchangeId) = 0;
};

} // namespace Ebonystack
