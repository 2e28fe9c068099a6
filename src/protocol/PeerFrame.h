// The messages that two nodes exchange on a link: requests and responses, resumption after a lost link,
// changes of the mirrored store, tokens of team plans, and load reports. A frame is a four-byte length in
// network byte order followed by CBOR.
#pragma once

#include "protocol/Body.h"
#include "protocol/FrameBody.h"
#include "protocol/HttpMessage.h"
#include "state/CostVector.h"
#include "state/StoreContact.h"
#include "state/StorePosition.h"
#include "state/StoreUpdate.h"
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

/// Longer frames are rejected. Large enough for a request with the largest body that callers may send.
constexpr std::size_t maxFrameBytes = 80U << 20;

/// The first frame on a link, from the node that opened it. The other node responds with its own.
struct LinkHello {
    VmId vm;
    std::uint64_t incarnation { 0 }; ///< random, chosen at the start of the process
    std::uint64_t frameLimit { maxFrameBytes }; ///< longer frames end the link; optional on the wire

    auto operator<=>(const LinkHello&) const = default;
};

/// Sent at regular intervals by the node that opened the link. The other node responds with its own.
struct LinkHeartbeat {
    UpstreamLoad load;
    std::uint64_t storeRevision { 0 }; ///< see StoreMirror::position
    bool reachesStore { true };
    std::optional<double> uptime; ///< of the sender's process, in seconds; optional on the wire
    std::optional<std::uint64_t> storeEra; ///< of the revision; see StoreUpdate::era
    std::optional<Duration> copyAge; ///< since StoreMirror::confirmedAt; optional on the wire
    std::optional<StoreContactAges> storeContact; ///< of the sender; optional on the wire

    auto operator<=>(const LinkHeartbeat&) const = default;
};

/// A request from an entry node to the node beside the selected upstream.
struct HopRequest {
    std::uint64_t number { 0 }; ///< unique in the entry node's process; each retry has its own
    RouteId route;
    Duration remainingTime { 0 };
    Duration maxGateWait { 0 }; ///< at the gate; then another node is tried, or the call refused
    int rank { 0 }; ///< see GateRequest
    bool idempotent { false };
    bool isRedispatch { false }; ///< the entry node has sent it to another node before
    /// The probability that an arrival at the upstream is a repeat: 1 when the request has reached an
    /// upstream before, else the probability that a repeated run has made this nested call. Optional on the
    /// wire.
    double repeatShare { 0 };
    /// The limit that the upstream named when the entry node last heard of it, for a node that has restarted
    /// since. Optional on the wire.
    std::optional<double> knownRequestLimit;
    /// The worth of the call tree that the request belongs to, per arrival at the service that the tree calls
    /// most, without a unit; 0 when unknown. Optional on the wire.
    double treeValue { 0 };
    InstanceId instance; ///< the only instance that may run the request
    std::string method;
    std::string target;
    HttpFields fields;
    Body body;

    auto operator<=>(const HopRequest&) const = default;
};

/// How a request ended at the upstream's node.
enum class HopOutcome : std::uint8_t {
    Responded, ///< `status`, `fields` and `body` hold the upstream's response
    NotRun, ///< the request did not run and will not run
    OutcomeUnknown, ///< the request was sent, but no valid response arrived: it may have run
};

/// Why a request was not run, or why its outcome is unknown.
enum class HopReason : std::uint8_t {
    None,
    GateFull, ///< the request would have waited too long at the gate
    UpstreamShed, ///< the upstream rejected the request
    WrongInstance, ///< another upstream instance now has the address
    UpstreamDown, ///< no connection to the upstream
    UpstreamDraining,
    ResponseInvalid, ///< the upstream's response was malformed, unsealed or not for this request
    ConnectionLost, ///< the connection to the upstream ended before the response was complete
    TooLate, ///< the deadline had passed or was too near when a slot was free
    NodeLeaving, ///< the node would shut down before the request's deadline
    UnknownRequest, ///< the node has no record of having received the request
    NoResponse, ///< the upstream did not respond before the deadline
    RetryBudgetSpent, ///< another repeat would exceed the operator's limit on retries
};

struct HopResponse {
    std::uint64_t number { 0 };
    HopOutcome outcome { HopOutcome::OutcomeUnknown };
    HopReason reason { HopReason::None };
    bool reachedUpstream { false }; ///< the request was sent to the upstream, even if then rejected
    std::uint16_t status { 0 };
    HttpFields fields;
    Body body;
    UpstreamLoad load;
    CostVector costs; ///< costs of the request's route
    Duration gateWait { 0 }; ///< time from arrival at the gate to the start or the rejection
    CostVector arrivals; ///< at each service, of a run of the request's route; optional on the wire
    /// A server error because a nested call was refused: another run would meet the same refusal. Optional on
    /// the wire.
    bool hasRefusedCall { false };

    auto operator<=>(const HopResponse&) const = default;
};

/// Cancels a request whose caller has disconnected.
struct HopCancel {
    std::uint64_t number { 0 };

    auto operator<=>(const HopCancel&) const = default;
};

/// Sent when a lost link is up again: the requests that the entry node still waits for. The receiving node
/// cancels the entry node's other requests. It responds with NotRun to numbers that it does not know if they
/// were sent to its own process, else with OutcomeUnknown.
struct HopResume {
    std::vector<std::uint64_t> numbers;
    std::optional<std::uint64_t>
        process; ///< incarnation of the process that they were sent to; optional on the wire

    auto operator<=>(const HopResume&) const = default;
};

/// Requests the items of the store that changed after a revision.
struct StoreChangesRequest {
    std::uint64_t since { 0 };
    std::optional<std::uint64_t> era; ///< of the revision; see StoreUpdate::era

    auto operator<=>(const StoreChangesRequest&) const = default;
};

struct StoreChangesResponse {
    /// On the wire, nodes of the version before do not say since when it is complete: their items are read as
    /// complete since their own revision, so that they count, but fill no gap.
    StoreUpdate update;

    auto operator<=>(const StoreChangesResponse&) const = default;
};

/// Changes that a node has read from the store, sent to the nodes of its data centre without a request.
struct StoreChangesPush {
    StoreUpdate update;
    /// How long ago the store is known to have had no change after the update's `since`. Optional on the
    /// wire.
    std::optional<Duration> sinceAge;

    auto operator<=>(const StoreChangesPush&) const = default;
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
    StoreChangesRequest, StoreChangesResponse, TokenRequest, TokenResponse, StoreChangesPush>;

/// A frame with its length prefix, in the order in which its parts are sent.
struct EncodedFrame {
    std::string before;
    Body body; ///< the long body of a request or response, else empty
    std::string after;

    std::size_t size() const { return before.size() + body.size() + after.size(); }
    auto operator<=>(const EncodedFrame&) const = default;
};

EncodedFrame encodeFrameParts(const PeerFrame&);

/// Returns the encoded frame, including the length prefix.
std::string encodeFrame(const PeerFrame&);

/// Returns the length of the frame at the beginning of `bytes`, including the length prefix; nothing if the
/// prefix is incomplete.
std::optional<std::size_t> frameLength(std::string_view bytes);

/// Of the frame at the beginning of `bytes`, which may be incomplete.
std::optional<FrameStart> frameStart(std::string_view bytes);
/// Null for frames without a body.
const Body* bodyOf(const PeerFrame&);

/// Whether a frame is a request or a response and names its number.
bool isHopRequest(const FrameStart&);
bool isHopResponse(const FrameStart&);
/// Whether a frame is neither a request nor a response: it serves the links and nodes themselves.
bool isControlFrame(const FrameStart&);

/// Decodes the frame at the beginning of `bytes`. Returns nothing if the frame is incomplete, else sets
/// `consumed` to its length in bytes, including the length prefix. The error says what is malformed; a frame
/// that is longer than `maxBytes` is.
tl::expected<std::optional<PeerFrame>, std::string> decodeFrame(
    std::string_view bytes, std::size_t& consumed, std::size_t maxBytes = maxFrameBytes);

/// Decodes a complete frame. A long body refers to `bytes` and keeps them.
tl::expected<PeerFrame, std::string> decodeWholeFrame(std::string bytes);

std::string_view describe(HopReason);

} // namespace Ebonystack
