// Frames between nodes: each kind is decoded as it was encoded, and damaged bytes are decoded or rejected
// without a crash.
#include "protocol/PeerFrame.h"
#include "state/RandomSource.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

std::vector<PeerFrame> makeFrames()
{
    HopRequest request;
    request.number = 7;
    request.route = { "read" };
    request.remainingTime = 800ms;
    request.rank = -1;
    request.idempotent = true;
    request.isRedispatch = true;
    request.repeatShare = 0.25;
    request.knownRequestLimit = 28.1;
    request.instance = { "i-1" };
    request.method = "POST";
    request.target = "/a/b?c=\xff";
    request.fields.add("Host", "example");
    request.body = std::string("\0\xfe\xff", 3);
    HopRequest longRequest = request;
    longRequest.body = std::string(minLongBodyBytes, '\xff');
    HopResponse response;
    response.number = 7;
    response.outcome = HopOutcome::Responded;
    response.reason = HopReason::GateFull;
    response.status = 200;
    response.fields.add("X", "y");
    response.body = "body";
    response.load = { { 1, 2, 3 }, 0.25, 30ms, false, UpstreamNotice { { "i-1" }, 28.1, true } };
    response.costs = { { { "deep" }, 0.24 } };
    response.gateWait = 3ms;
    response.arrivals = { { { "deep" }, 8 } };
    HopResponse longResponse = response;
    longResponse.body = std::string(70'000, '\x01');
    return { longRequest, longResponse, LinkHello { { "10.0.0.1" }, 99 },
        LinkHeartbeat { response.load, 5, false, 1.5 },
        LinkHeartbeat { response.load, 5, true, std::nullopt },
        LinkHeartbeat { response.load, 5, true, std::nullopt, 3 }, request, response, HopCancel { 7 },
        HopResume { { 1, 2 }, 3 }, HopResume { { 1 }, std::nullopt }, StoreChangesRequest { 4, 2 },
        StoreChangesResponse { { 4, 6, { { "k", 5, "v" }, { "l", 6, std::nullopt } }, { { "m" } }, 2 } },
        TokenRequest { 1, { "team" }, 3 }, TokenResponse { 1, 2, 5ms },
        StoreChangesPush { { 4, 6, { { "k", 5, "v" }, { "l", 6, std::nullopt } }, std::nullopt } } };
}

} // namespace

TEST_CASE("every frame is decoded as it was encoded")
{
    for (const PeerFrame& frame : makeFrames()) {
        std::size_t consumed = 0;
        const std::string bytes = encodeFrame(frame);
        const auto decoded = decodeFrame(bytes + "rest", consumed);
        REQUIRE(decoded);
        REQUIRE(*decoded);
        CHECK(**decoded == frame);
        CHECK(consumed == bytes.size());
    }
}

// Nodes of the version before read and write long bodies as they do short ones.
TEST_CASE("a frame whose body is kept apart has the bytes of one that is encoded and decoded as a whole")
{
    HopRequest request;
    HopResponse response;
    for (const std::size_t length : { 0UL, 23UL, 24UL, 255UL, 256UL, 16384UL, 65535UL, 65536UL, 5000000UL }) {
        request.body = std::string(length, '\x5b');
        response.body = request.body;
        for (const PeerFrame& frame : { PeerFrame(request), PeerFrame(response) }) {
            const EncodedFrame parts = encodeFrameParts(frame);
            const std::string whole = encodeFrame(frame);
            CHECK((parts.before + std::string(parts.body.view()) + parts.after) == whole);
            CHECK(parts.body.isLong() == (length >= minLongBodyBytes));
            const auto decoded = decodeWholeFrame(whole);
            REQUIRE(decoded);
            CHECK(*decoded == frame);
        }
    }
}

TEST_CASE("the number of a request is known from the start of its frame")
{
    HopRequest request;
    request.number = 0xffffffffff;
    const std::string bytes = encodeFrame(request);
    const auto start = frameStart(bytes.substr(0, 32));
    REQUIRE(start);
    CHECK(isHopRequest(*start));
    CHECK(start->number == request.number);
    for (std::size_t length = 0; length < 12; ++length) {
        const auto incomplete = frameStart(bytes.substr(0, length));
        CHECK_FALSE((incomplete && (incomplete->number || isHopRequest(*incomplete))));
    }
}

TEST_CASE("changes from a node that doesn't say since when they are complete close no gap")
{
    const std::string content("\x82\x07\x82\x09\x80", 5); // [7, [9, []]]
    std::size_t consumed = 0;
    const auto decoded = decodeFrame(std::string("\0\0\0\x05", 4) + content, consumed);
    REQUIRE(decoded);
    REQUIRE(*decoded);
    CHECK(**decoded == PeerFrame(StoreChangesResponse { { 9, 9, {}, std::nullopt } }));
}

TEST_CASE("an incomplete frame gives no frame and no error")
{
    const std::string bytes = encodeFrame(HopCancel { 7 });
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        std::size_t consumed = 0;
        const auto decoded = decodeFrame(bytes.substr(0, length), consumed);
        REQUIRE(decoded);
        CHECK_FALSE(*decoded);
    }
}

TEST_CASE("damaged frames are rejected, or decoded from no more bytes than there are")
{
    RandomSource random(20261204);
    for (const PeerFrame& frame : makeFrames()) {
        for (int round = 0; round < 400; ++round) {
            std::string bytes = encodeFrame(frame);
            for (int change = 0; change < 3; ++change)
                bytes[4 + random.below(bytes.size() - 4)] = static_cast<char>(random());
            std::size_t consumed = 0;
            const auto decoded = decodeFrame(bytes, consumed);
            CHECK((!decoded || consumed <= bytes.size()));
            const auto whole = decodeWholeFrame(bytes);
            CHECK(decoded.has_value() == whole.has_value());
            if (decoded && whole)
                CHECK(encodeFrame(**decoded) == encodeFrame(*whole)); // equal also if a number is NaN
        }
    }
}

TEST_CASE("a frame that announces too large a size is rejected from its first four bytes")
{
    std::size_t consumed = 0;
    CHECK_FALSE(decodeFrame(std::string("\xff\xff\xff\xff", 4), consumed));
}

TEST_CASE("a repeat share that is no finite number from 0 is read as 0")
{
    for (const double number : { std::nan(""), -1.0, HUGE_VAL }) {
        HopRequest request;
        request.repeatShare = number;
        std::size_t consumed = 0;
        const auto decoded = decodeFrame(encodeFrame(request), consumed);
        REQUIRE(decoded);
        CHECK(std::get<HopRequest>(**decoded).repeatShare == 0);
    }
}

TEST_CASE("a request limit that is no finite number from 0 is read as unknown")
{
    for (const double number : { std::nan(""), -1.0, HUGE_VAL }) {
        HopRequest request;
        request.knownRequestLimit = number;
        std::size_t consumed = 0;
        const auto decoded = decodeFrame(encodeFrame(request), consumed);
        REQUIRE(decoded);
        CHECK_FALSE(std::get<HopRequest>(**decoded).knownRequestLimit);
    }
}
