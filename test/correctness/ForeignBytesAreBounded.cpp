// Bytes that are no message and do not end: from an upstream, a caller or a peer, in a head, a chunk header,
// a trailer, a body or a frame. The exchange ends, its connection is closed, and the memory held stays
// bounded.
#include "support/HopServiceFixture.h"
#include "transport/HttpCodec.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

constexpr std::size_t pieceBytes = 16384;
constexpr std::size_t maxHeldBytes = 256 << 10;

std::string repeat(std::string_view text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

/// Feeds `start` and then `piece` without end, as a connection does: bytes that are not used stay in its
/// input. Returns the size of the input when the parser gives up, or when it exceeds 16 MiB.
template <typename Parser, typename Failed>
std::size_t heldWhenGivenUp(Parser& parser, std::string start, const std::string& piece, Failed&& failed)
{
    constexpr std::size_t limit = 16U << 20;
    std::string input = std::move(start);
    std::size_t held = 0;
    while (!failed() && held < limit) {
        input += piece;
        input.erase(0, parser.feed(input));
        held = std::max(held, input.size());
    }
    return held;
}

const std::vector<std::string> unendingStarts {
    "X-Long: ", // a header field
    "Transfer-Encoding: chunked\r\n\r\n5;extension=", // a chunk extension
    "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", // a trailer
    "Transfer-Encoding: chunked\r\n\r\n0000000000", // a chunk size
};

} // namespace

TEST_CASE("a response whose head, chunk extension or trailer does not end is given up with bounded memory")
{
    for (const std::string& start : unendingStarts) {
        ResponseParser parser(false, 1 << 20);
        const std::size_t held = heldWhenGivenUp(
            parser, "HTTP/1.1 200 OK\r\n" + start, repeat("0", pieceBytes), [&] { return parser.failed(); });
        CHECK_MESSAGE(held <= maxHeldBytes, start);
    }
}

TEST_CASE("a request whose head, chunk extension or trailer does not end is refused with bounded memory")
{
    for (const std::string& start : unendingStarts) {
        RequestParser parser(16384, 1 << 20);
        const std::size_t held = heldWhenGivenUp(parser, "POST / HTTP/1.1\r\nHost: h\r\n" + start,
            repeat("0", pieceBytes), [&] { return parser.refusal().has_value(); });
        CHECK_MESSAGE(held <= maxHeldBytes, start);
    }
}

TEST_CASE("interim responses without end do not hold a slot")
{
    HopServiceFixture fixture([](const HttpRequest&) {
        return ScriptedResponse { repeat("HTTP/1.1 100 Continue\r\n\r\n", 1 << 20) };
    });
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].reason == HopReason::ResponseInvalid);
    CHECK(fixture.pool.connectionCount() == 0);
    CHECK(fixture.hop.openCount() == 0);
}

TEST_CASE("a response after a few interim ones is delivered")
{
    HopServiceFixture fixture([](const HttpRequest& request) {
        return ScriptedResponse { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
            + sealedResponse(request) };
    });
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
}

TEST_CASE(
    "of several bodies that do not end, those without memory are not read, and other requests are served")
{
    HopServiceFixture fixture(
        [](const HttpRequest& request) {
            const bool isEndless = request.head.fields.find("X-Id") != "9";
            if (!isEndless)
                return ScriptedResponse { sealedResponse(request) };
            return ScriptedResponse { "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2400000\r\n\r\n"
                + std::string(1'700'000, 'x') };
        },
        16); // memory for four of them
    for (std::uint64_t number = 1; number <= 6; ++number)
        fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(number, true));
    fixture.runUntil([&] { return fixture.pool.pausedCount() == 2; });
    CHECK(fixture.pool.pausedCount() == 2);
    CHECK(fixture.state.memory.budget().heldBytes() <= fixture.state.memory.limit());
    fixture.requestAndWait(9, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    CHECK(fixture.pool.pausedCount() == 2);
    for (std::uint64_t number = 1; number <= 6; ++number)
        fixture.hop.cancel(fixture.origin, number);
    CHECK(fixture.state.memory.budget().heldBytes() == 0);
    CHECK(fixture.pool.pausedCount() == 0);
}

TEST_CASE("a frame of nested arrays is rejected instead of exhausting the stack")
{
    constexpr std::size_t depth = 4U << 20;
    std::string frame { 0, 0x40, 0, 0 };
    frame += std::string(depth, static_cast<char>(0x81)); // each an array with one element
    std::size_t consumed = 0;
    CHECK_FALSE(decodeFrame(frame, consumed, maxFrameBytes).has_value());
}

TEST_CASE("a frame with an outcome or reason that does not exist is rejected")
{
    HopResponse response;
    response.number = 1;
    response.reason = HopReason::UnknownRequest;
    std::string frame = encodeFrame(response);
    std::size_t consumed = 0;
    REQUIRE(decodeFrame(frame, consumed, maxFrameBytes).has_value());
    response.reason = static_cast<HopReason>(200);
    CHECK_FALSE(decodeFrame(encodeFrame(response), consumed, maxFrameBytes).has_value());
    response.reason = HopReason::None;
    response.outcome = static_cast<HopOutcome>(3);
    CHECK_FALSE(decodeFrame(encodeFrame(response), consumed, maxFrameBytes).has_value());
}

TEST_CASE("a frame that is longer than the receiver's limit is rejected from its length alone")
{
    const std::string frame = encodeFrame(HopCancel { 1 });
    std::size_t consumed = 0;
    CHECK(decodeFrame(frame, consumed, frame.size()).has_value());
    CHECK_FALSE(decodeFrame(frame.substr(0, 4), consumed, frame.size() - 5).has_value());
}
