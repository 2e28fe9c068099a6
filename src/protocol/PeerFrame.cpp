// Encodes and decodes frames as CBOR arrays with the JSON library. The first element is the index of the
// frame's type in PeerFrame.
#include "protocol/PeerFrame.h"

#include "protocol/FrameValues.h"
#include "state/Check.h"

#include <array>
#include <nlohmann/json.hpp>

namespace Ebonystack {
namespace {

using Json = nlohmann::json;
using namespace FrameValues;

constexpr std::size_t lengthPrefixBytes = 4;
/// Frames nest four arrays; the decoder of the library recurses once per level.
constexpr std::size_t maxNesting = 16;
/// Builds the decoded value, and stops the decoder when the value is malformed or nested too deeply.
class FrameBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;

    explicit FrameBuilder(Json& result)
        : Base(result, false)
    {
    }

    bool start_array(std::size_t size) { return ++m_depth <= maxNesting && Base::start_array(size); }
    bool end_array()
    {
        --m_depth;
        return Base::end_array();
    }
    bool start_object(std::size_t size) { return ++m_depth <= maxNesting && Base::start_object(size); }
    bool end_object()
    {
        --m_depth;
        return Base::end_object();
    }

private:
    std::size_t m_depth { 0 };
};

/// Reads an enumerator; throws if the number is above `last`.
template <typename Enum> Enum decodeEnum(const Json& json, Enum last)
{
    const auto number = json.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last))
        throw nlohmann::detail::out_of_range::create(
            401, "expected at most " + std::to_string(static_cast<int>(last)), nullptr);
    return static_cast<Enum>(number);
}

Duration decodeDuration(const Json& json) { return Duration(json.get<std::int64_t>()); }

Json encode(const LinkHello& frame)
{
    return Json::array({ frame.vm.text, frame.incarnation, frame.frameLimit });
}

Json encode(const LinkHeartbeat& frame)
{
    Json json = Json::array(
        { encodeLoad(frame.load), frame.storeRevision, frame.reachesStore, encodeOptional(frame.uptime),
            encodeOptional(frame.storeEra), encodeAge(frame.copyAge), encodeContact(frame.storeContact) });
    removeTrailingNulls(json);
    return json;
}

Json encode(const HopRequest& frame)
{
    return Json::array({ frame.number, frame.route.text, frame.remainingTime.count(),
        frame.maxGateWait.count(), frame.rank, frame.idempotent, frame.isRedispatch, frame.instance.text,
        frame.method, encodeBytes(frame.target), encodeFields(frame.fields), encodeBytes(frame.body.view()),
        frame.repeatShare, encodeOptional(frame.knownRequestLimit), frame.treeValue });
}

Json encode(const HopResponse& frame)
{
    return Json::array({ frame.number, frame.outcome, frame.reason, frame.reachedUpstream, frame.status,
        encodeFields(frame.fields), encodeBytes(frame.body.view()), encodeLoad(frame.load),
        encodeCosts(frame.costs), frame.gateWait.count(), encodeCosts(frame.arrivals),
        frame.hasRefusedCall });
}

Json encode(const HopCancel& frame) { return Json::array({ frame.number }); }
Json encode(const HopResume& frame) { return Json::array({ frame.numbers, encodeOptional(frame.process) }); }
Json encode(const StoreChangesRequest& frame)
{
    return Json::array({ frame.since, encodeOptional(frame.era) });
}

Json encodeItems(const std::vector<StoreItem>& items)
{
    Json array = Json::array();
    for (const StoreItem& item : items) {
        Json each = Json::array({ item.key, item.revision });
        if (item.value)
            each.push_back(encodeBytes(*item.value));
        array.push_back(std::move(each));
    }
    return array;
}

Json encodeOtherKeys(const StoreUpdate& update)
{
    return update.otherKeys ? Json(*update.otherKeys) : Json();
}

Json encode(const StoreChangesResponse& frame)
{
    const StoreUpdate& update = frame.update;
    return Json::array({ update.revision, encodeItems(update.items), update.since, encodeOtherKeys(update),
        encodeOptional(update.era) });
}

Json encode(const StoreChangesPush& frame)
{
    const StoreUpdate& update = frame.update;
    Json json = Json::array({ update.since, update.revision, encodeItems(update.items),
        encodeOtherKeys(update), encodeOptional(update.era), encodeAge(frame.sinceAge) });
    removeTrailingNulls(json);
    return json;
}

Json encode(const TokenRequest& frame)
{
    return Json::array({ frame.number, frame.team.text, frame.requested });
}

Json encode(const TokenResponse& frame)
{
    return Json::array({ frame.number, frame.tokens, frame.retryAfter.count() });
}

PeerFrame decodeHello(const Json& json)
{
    LinkHello hello { { json.at(0) }, json.at(1) };
    if (json.size() > 2)
        hello.frameLimit = json.at(2);
    return hello;
}

std::optional<std::uint64_t> decodeEra(const Json& json, std::size_t index)
{
    if (json.size() <= index || json.at(index).is_null())
        return std::nullopt;
    return json.at(index).get<std::uint64_t>();
}

PeerFrame decodeHeartbeat(const Json& json)
{
    LinkHeartbeat heartbeat { decodeLoad(json.at(0)), json.at(1), json.at(2), std::nullopt };
    if (json.size() > 3)
        heartbeat.uptime = decodeOptional(json.at(3));
    heartbeat.storeEra = decodeEra(json, 4);
    heartbeat.copyAge = decodeAge(json, 5);
    heartbeat.storeContact = decodeContact(json, 6);
    return heartbeat;
}

PeerFrame decodeRequest(const Json& json)
{
    const double repeatShare = json.size() > 12 ? decodeShare(json.at(12)) : 0;
    const auto requestLimit = json.size() > 13 ? decodeOptional(json.at(13)) : std::nullopt;
    const double treeValue = json.size() > 14 ? decodeOptional(json.at(14)).value_or(0) : 0;
    return HopRequest { json.at(0), { json.at(1) }, decodeDuration(json.at(2)), decodeDuration(json.at(3)),
        json.at(4), json.at(5), json.at(6), repeatShare, requestLimit, treeValue, { json.at(7) }, json.at(8),
        decodeBytes(json.at(9)), decodeFields(json.at(10)), decodeBytes(json.at(11)) };
}

PeerFrame decodeResponse(const Json& json)
{
    HopResponse response { json.at(0), decodeEnum(json.at(1), HopOutcome::OutcomeUnknown),
        decodeEnum(json.at(2), HopReason::RetryBudgetSpent), json.at(3), json.at(4), decodeFields(json.at(5)),
        decodeBytes(json.at(6)), decodeLoad(json.at(7)), decodeCosts(json.at(8)), decodeDuration(json.at(9)),
        {} };
    if (json.size() > 10)
        response.arrivals = decodeCosts(json.at(10));
    if (json.size() > 11)
        response.hasRefusedCall = json.at(11);
    return response;
}

PeerFrame decodeCancel(const Json& json) { return HopCancel { json.at(0) }; }

PeerFrame decodeResume(const Json& json)
{
    HopResume resume { json.at(0), std::nullopt };
    if (json.size() > 1 && !json.at(1).is_null())
        resume.process = json.at(1).get<std::uint64_t>();
    return resume;
}

PeerFrame decodeStoreChangesRequest(const Json& json)
{
    return StoreChangesRequest { json.at(0), decodeEra(json, 1) };
}

std::vector<StoreItem> decodeItems(const Json& array)
{
    std::vector<StoreItem> items;
    for (const Json& each : array) {
        StoreItem item { each.at(0), each.at(1), std::nullopt };
        if (each.size() > 2)
            item.value = decodeBytes(each.at(2));
        items.push_back(std::move(item));
    }
    return items;
}

std::optional<std::vector<std::string>> decodeOtherKeys(const Json& json, std::size_t index)
{
    if (json.size() <= index || json.at(index).is_null())
        return std::nullopt;
    return json.at(index).get<std::vector<std::string>>();
}

PeerFrame decodeStoreChangesResponse(const Json& json)
{
    const std::uint64_t revision = json.at(0);
    const std::uint64_t since = json.size() > 2 ? json.at(2).get<std::uint64_t>() : revision;
    return StoreChangesResponse { { since, revision, decodeItems(json.at(1)), decodeOtherKeys(json, 3),
        decodeEra(json, 4) } };
}

PeerFrame decodeStoreChangesPush(const Json& json)
{
    return StoreChangesPush { { json.at(0), json.at(1), decodeItems(json.at(2)), decodeOtherKeys(json, 3),
                                  decodeEra(json, 4) },
        decodeAge(json, 5) };
}

PeerFrame decodeTokenRequest(const Json& json)
{
    return TokenRequest { json.at(0), { json.at(1) }, json.at(2) };
}

PeerFrame decodeTokenResponse(const Json& json)
{
    return TokenResponse { json.at(0), json.at(1), decodeDuration(json.at(2)) };
}

/// Indexed by the alternatives of PeerFrame.
constexpr std::array decoders { decodeHello, decodeHeartbeat, decodeRequest, decodeResponse, decodeCancel,
    decodeResume, decodeStoreChangesRequest, decodeStoreChangesResponse, decodeTokenRequest,
    decodeTokenResponse, decodeStoreChangesPush };
static_assert(decoders.size() == std::variant_size_v<PeerFrame>);

/// Positions of the types with a body in PeerFrame, and of the body in their messages.
constexpr std::size_t requestIndex = 2;
constexpr std::size_t responseIndex = 3;
constexpr std::array<std::size_t, 4> bodyIndices { 0, 0, 11, 6 };
static_assert(std::is_same_v<std::variant_alternative_t<requestIndex, PeerFrame>, HopRequest>);
static_assert(std::is_same_v<std::variant_alternative_t<responseIndex, PeerFrame>, HopResponse>);

template <typename Frame> auto* findBody(Frame& frame)
{
    if (auto* request = std::get_if<HopRequest>(&frame))
        return &request->body;
    auto* response = std::get_if<HopResponse>(&frame);
    return response ? &response->body : nullptr;
}

void appendContent(std::string& bytes, const PeerFrame& frame)
{
    Json json = std::visit([](const auto& each) { return encode(each); }, frame);
    Json::to_cbor(
        Json::array({ frame.index(), std::move(json) }), nlohmann::detail::output_adapter<char>(bytes));
}

void writeLength(std::string& bytes, std::size_t length)
{
    for (std::size_t i = lengthPrefixBytes; i-- > 0; length >>= 8)
        bytes[i] = static_cast<char>(length & 0xff);
}

tl::expected<PeerFrame, std::string> decodeContent(std::string_view content)
{
    try {
        Json json;
        FrameBuilder builder(json);
        if (!Json::sax_parse(content.begin(), content.end(), &builder, Json::input_format_t::cbor))
            return tl::make_unexpected("the frame's content is not CBOR, or is nested too deeply");
        const auto index = json.at(0).get<std::size_t>();
        if (index >= decoders.size())
            return tl::make_unexpected("unknown frame type " + std::to_string(index));
        return decoders[index](json.at(1));
    } catch (const Json::exception& error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

std::size_t decodeLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
        length = length << 8 | static_cast<unsigned char>(bytes[i]);
    return length;
}

} // namespace

std::string encodeFrame(const PeerFrame& frame)
{
    std::string bytes(lengthPrefixBytes, '\0');
    appendContent(bytes, frame);
    writeLength(bytes, bytes.size() - lengthPrefixBytes);
    return bytes;
}

EncodedFrame encodeFrameParts(const PeerFrame& frame)
{
    const Body* body = bodyOf(frame);
    if (!body || !body->isLong())
        return { encodeFrame(frame), {}, {} };
    PeerFrame rest = frame;
    *findBody(rest) = {};
    std::string bytes(lengthPrefixBytes, '\0');
    appendContent(bytes, rest);
    const auto place
        = findFrameBody(std::string_view(bytes).substr(lengthPrefixBytes), bodyIndices.at(frame.index()));
    internalCheck(place.has_value(), "an encoded request or response has its body at a fixed place");
    EncodedFrame parts { bytes.substr(0, lengthPrefixBytes + place->headBegin)
            + encodeByteStringHead(body->size()),
        *body, bytes.substr(lengthPrefixBytes + place->begin) };
    writeLength(parts.before, parts.size() - lengthPrefixBytes);
    return parts;
}

std::optional<std::size_t> frameLength(std::string_view bytes)
{
    return bytes.size() < lengthPrefixBytes ? std::nullopt
                                            : std::optional(lengthPrefixBytes + decodeLength(bytes));
}

std::optional<FrameStart> frameStart(std::string_view bytes)
{
    return bytes.size() < lengthPrefixBytes ? std::nullopt : readFrameStart(bytes.substr(lengthPrefixBytes));
}

const Body* bodyOf(const PeerFrame& frame) { return findBody(frame); }

bool isHopRequest(const FrameStart& start) { return start.type == requestIndex && start.number; }
bool isHopResponse(const FrameStart& start) { return start.type == responseIndex && start.number; }

bool isControlFrame(const FrameStart& start)
{
    return start.type < std::variant_size_v<PeerFrame> && start.type != requestIndex
        && start.type != responseIndex;
}

tl::expected<std::optional<PeerFrame>, std::string> decodeFrame(
    std::string_view bytes, std::size_t& consumed, std::size_t maxBytes)
{
    const auto length = frameLength(bytes);
    if (!length)
        return std::nullopt;
    if (*length - lengthPrefixBytes > maxBytes)
        return tl::make_unexpected("a frame of " + std::to_string(*length - lengthPrefixBytes)
            + " bytes exceeds the limit of " + std::to_string(maxBytes));
    if (bytes.size() < *length)
        return std::nullopt;
    consumed = *length;
    return decodeContent(bytes.substr(lengthPrefixBytes, *length - lengthPrefixBytes));
}

tl::expected<PeerFrame, std::string> decodeWholeFrame(std::string bytes)
{
    const std::string_view content = std::string_view(bytes).substr(lengthPrefixBytes);
    const auto start = readFrameStart(content);
    const bool hasBody = start && (isHopRequest(*start) || isHopResponse(*start));
    const auto place = hasBody ? findFrameBody(content, bodyIndices.at(start->type)) : std::nullopt;
    if (!place || place->length < minLongBodyBytes)
        return decodeContent(content);
    std::string rest(content.substr(0, place->headBegin));
    rest += encodeByteStringHead(0);
    rest += content.substr(place->begin + place->length);
    auto frame = decodeContent(rest);
    if (frame)
        *findBody(*frame) = Body::partOf(std::move(bytes), lengthPrefixBytes + place->begin, place->length);
    return frame;
}

std::string_view describe(HopReason reason)
{
    constexpr auto names = std::to_array<std::string_view>({ "none", "gate full", "upstream shed",
        "wrong instance", "upstream down", "upstream draining", "answer invalid", "connection lost",
        "too late", "node leaving", "unknown request", "no response", "retry budget spent" });
    return names[static_cast<std::size_t>(reason)];
}

} // namespace Ebonystack
