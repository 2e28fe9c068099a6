// The messages of two nodes on a link between them: requests and their answers, what is needed to take up a
// lost link again, shares of the mirrored store, tokens of team plans, and loads. A frame is a length of four
// bytes in network order followed by CBOR.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/CostVector.h"
#include "state/StoreItem.h"
#include "state/UpstreamLoad.h"
#include "state/UpstreamRecord.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace Ebonystack {

/// The first frame of a link, from the node that has opened it.
struct LinkHello {
    VmId vm;
    std::uint64_t incarnation { 0 }; ///< drawn at the start of the process

    auto operator<=>(const LinkHello&) const = default;
};

/// Sent at regular intervals by the node that opened the link, and answered in kind.
struct LinkHeartbeat {
    UpstreamLoad load;
    std::uint64_t storeRevision { 0 }; ///< see StoreMirror::revision
    bool reachesStore { true };
    std::optional<double> uptime; ///< seconds; absent in answers

    auto operator<=>(const LinkHeartbeat&) const = default;
};

/// A request on its way to the node beside the chosen upstream.
struct HopRequest {
    std::uint64_t number { 0 }; ///< of the entry's process; repeats of a request have their own
    RouteId route;
    Duration remainingTime { 0 };
    Duration maxGateWait { 0 }; ///< at the gate: after that it goes elsewhere, or is refused
    int rank { 0 }; ///< see GateRequest
    bool idempotent { false };
    bool isRedispatch { false }; ///< another node has turned it back before
    InstanceId instance; ///< the upstream for which it is meant
    std::string method;
    std::string target;
    HttpFields fields;
    std::string body;

    auto operator<=>(const HopRequest&) const = default;
};

/// How a request ended at the upstream's node.
enum class HopOutcome : std::uint8_t {
    Responded, ///< `status`, `fields` and `body` are the upstream's
    NotRun, ///< it did not run and will not
    OutcomeUnknown, ///< it was sent, and no sound answer came: it may have run
};

enum class HopReason : std::uint8_t {
    None,
    GateFull, ///< it would have waited too long
    UpstreamShed, ///< the upstream turned it away
    WrongInstance, ///< another upstream has the address by now
    UpstreamDown, ///< no connection to the upstream
    UpstreamDraining,
    AnswerInvalid, ///< the upstream's answer was no answer to this request
    ConnectionLost, ///< the upstream's connection ended early
    TooLate, ///< the deadline passed
    NodeLeaving, ///< the node would end before the request
    UnknownRequest, ///< the node has not received it
};

struct HopResponse {
    std::uint64_t number { 0 };
    HopOutcome outcome { HopOutcome::OutcomeUnknown };
    HopReason reason { HopReason::None };
    bool reachedUpstream { false }; ///< the upstream was sent the request, also if it turned it away
    std::uint16_t status { 0 };
    HttpFields fields;
    std::string body;
    UpstreamLoad load;
    CostVector costs; ///< of the request's route
    Duration gateWait { 0 }; ///< at the gate

    auto operator<=>(const HopResponse&) const = default;
};

/// The caller is gone.
struct HopCancel {
    std::uint64_t number { 0 };

    auto operator<=>(const HopCancel&) const = default;
};

/// After a lost link: the requests that the entry still waits for. The node cancels all others of the entry,
/// and answers those that it does not know as not run.
struct HopResume {
    std::vector<std::uint64_t> numbers;

    auto operator<=>(const HopResume&) const = default;
};

/// Asks for what changed in the store after a revision.
struct StoreChangesRequest {
    std::uint64_t since { 0 };

    auto operator<=>(const StoreChangesRequest&) const = default;
};

struct StoreChangesResponse {
    std::uint64_t revision { 0 }; ///< `items` has every change up to this one
    std::vector<StoreItem> items;

    auto operator<=>(const StoreChangesResponse&) const = default;
};

struct TokenRequest {
    std::uint64_t number { 0 };
    TeamId team;
    std::uint32_t requested { 1 };

    auto operator<=>(const TokenRequest&) const = default;
};

struct TokenResponse {
    std::uint64_t number { 0 };
    std::uint32_t tokens { 0 };
    Duration retryAfter { 0 };

    auto operator<=>(const TokenResponse&) const = default;
};

using PeerFrame = std::variant<LinkHello, LinkHeartbeat, HopRequest, HopResponse, HopCancel, HopResume,
    StoreChangesRequest, StoreChangesResponse, TokenRequest, TokenResponse>;

/// The frame with its length in front.
std::string encodeFrame(const PeerFrame&);

/// Reads the frame at the beginning of `bytes`. Nothing: it is not complete yet. On success `consumed` is
/// its length. The error says what is wrong with it.
tl::expected<std::optional<PeerFrame>, std::string> decodeFrame(
    std::string_view bytes, std::size_t& consumed);

std::string_view describe(HopReason);

/// The longest frame that is accepted, in bytes: a body of the largest size that callers may send.
constexpr std::size_t maxFrameBytes = 80U << 20;

} // namespace Ebonystack
