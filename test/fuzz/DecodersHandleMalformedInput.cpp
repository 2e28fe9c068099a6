// Decoders of all external input, with randomly damaged input: it is rejected or decoded, without a crash and
// within the parsers' limits.
#include "ConfigDecoder.h"
#include "StoreDecoder.h"
#include "UpstreamRecordDecoder.h"
#include "lab/ScenarioParser.h"
#include "protocol/SidecarSettings.h"
#include "state/RandomSource.h"
#include "support/RawUpstream.h"
#include "transport/HttpCodec.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

constexpr int rounds = 4000;

/// Replaces, erases, duplicates or inserts characters at up to four places.
std::string damaged(std::string text, RandomSource& random)
{
    const std::uint64_t changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random.below(text.size());
        switch (random.below(4)) {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(at, 1 + random.below(8));
            break;
        case 2:
            text.insert(at, text.substr(random.below(text.size()), 1 + random.below(8)));
            break;
        default:
            text.insert(at, std::to_string(random()));
        }
    }
    return text;
}

template <typename Decode> void decodeDamaged(const std::string& valid, Decode&& decode)
{
    RandomSource random(20261204);
    for (int i = 0; i < rounds; ++i)
        decode(damaged(valid, random));
}

const std::string config
    = R"({"version":"0000000a","routes":{"r":{"host":"h","path_prefix":"/a/",)"
      R"("route_kind":"idempotent","timeout":"800ms","target_latency":"500ms","priority":2,)"
      R"("service":"s","max_attempts":2}},"tenants":{"t":{"api_keys":["k"]}}})";
const std::string record = R"({"address":"10.0.0.1:80","info":{"service":"s","zone":"a","slots":4},)"
                           R"("status":{"state":"ready","cold_left":"0ms"}})";
const std::string page
    = R"({"items":[{"key":"servers/i","value":"e30=","mod_rev":3}],"has_more":false,"current_rev":3})";

} // namespace

TEST_CASE("some damaged configurations are rejected, and none crashes the decoder")
{
    int decoded = 0;
    decodeDamaged(config, [&](const std::string& text) { decoded += Platform::decodeConfig(text) ? 1 : 0; });
    CHECK(decoded < rounds); // some damaged inputs are rejected
}

TEST_CASE("some damaged upstream records are rejected, and none crashes the decoder")
{
    int decoded = 0;
    decodeDamaged(record,
        [&](const std::string& text) { decoded += Platform::decodeUpstreamRecord({ "i" }, text) ? 1 : 0; });
    CHECK(decoded < rounds);
}

TEST_CASE("some damaged responses of the store are rejected, and none crashes the decoder")
{
    int decoded = 0;
    decodeDamaged(page, [&](const std::string& text) {
        decoded += Platform::decodePage(text) ? 1 : 0;
        decoded += Platform::decodeChanges(text) ? 1 : 0;
    });
    CHECK(decoded < 2 * rounds);
}

TEST_CASE("damaged settings are read or rejected with a problem")
{
    decodeDamaged(R"({"vm":"10.0.0.1","dataCentre":"a","service":"s","grace":"6s","peerPort":1})",
        [](const std::string& text) {
            const auto settings = parseSidecarSettings(text);
            CHECK((settings || !settings.error().empty()));
        });
}

TEST_CASE("parsers of damaged HTTP messages stay within the input and the limit of a body")
{
    decodeDamaged("POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
        [](const std::string& text) {
            RequestParser parser(1024, 1024);
            const std::size_t used = parser.feed(text);
            CHECK(used <= text.size());
            if (parser.done() && !parser.refusal())
                CHECK(parser.take().body.size() <= 1024);
        });
    decodeDamaged("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        [](const std::string& text) {
            ResponseParser parser(false, 1024);
            CHECK(parser.feed(text) <= text.size());
            parser.feedEof();
            if (parser.done() && !parser.failed())
                CHECK(parser.take().body.size() <= 1024);
        });
}

// Guards against a cut that looks like the end of a response.
TEST_CASE("a damaged response without a length is complete only after an orderly end, wherever it is cut off")
{
    const auto isCompleteWithoutEnd = [](const std::string& text) {
        ResponseParser parser(false, 1 << 20);
        parser.feed(text);
        return parser.done();
    };
    constexpr int exchanges = 300;
    RandomSource random(20261206);
    int incomplete = 0;
    for (int i = 0; i < exchanges; ++i) {
        std::string text = damaged("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\nhello hello", random);
        text.resize(random.below(text.size() + 1));
        RawUpstream upstream(random.below(2) * (8 << 20));
        upstream.runNode(static_cast<int>(random.below(4)));
        upstream.send(text);
        upstream.runNode(static_cast<int>(random.below(6)));
        upstream.reset();
        REQUIRE(upstream.awaitResult());
        if (isCompleteWithoutEnd(text))
            continue;
        ++incomplete;
        CHECK_MESSAGE(upstream.result->kind != UpstreamResult::Kind::Responded, text);
    }
    CHECK(incomplete > exchanges / 2);
}

TEST_CASE("no damaged scenario file crashes the parser")
{
    decodeDamaged(
        "service a vms 1 slots 10 speeds 1 0.5\nkind k at a rate 5 work 20ms order\nload 1 until 5s\n",
        [](const std::string& text) { static_cast<void>(parseScenario(text)); });
}
