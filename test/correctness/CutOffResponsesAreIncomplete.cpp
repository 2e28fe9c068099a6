// Responses without a length whose connection ends while the request is still being written.
#include "support/RawUpstream.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

constexpr std::size_t longBodyBytes = std::size_t { 16 } << 20; // exceeds the socket buffers
const std::string responseStart = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\nhalf";

} // namespace

// Guards against a reset that only the write reports being taken for the end of the response.
TEST_CASE("a response without a length is incomplete if a reset ends it while the request is being written")
{
    RawUpstream upstream(longBodyBytes);
    upstream.send(responseStart);
    upstream.reset(); // before the node has written, so that the write meets the error first
    REQUIRE(upstream.awaitResult());
    CHECK(upstream.result->kind == UpstreamResult::Kind::Lost);
}

TEST_CASE("a response without a length that ends orderly is complete, also before the request is written")
{
    RawUpstream upstream(longBodyBytes);
    upstream.send(responseStart);
    upstream.endOrderly();
    REQUIRE(upstream.awaitResult());
    REQUIRE(upstream.result->kind == UpstreamResult::Kind::Responded);
    CHECK(upstream.result->response.body == "half");
}
