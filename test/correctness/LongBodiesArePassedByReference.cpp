// Long bodies between the parts of a node, and the account of what is held for them.
#include "support/HopServiceFixture.h"
#include "support/RunLoop.h"
#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t longBytes = std::size_t { 3 } << 20;

std::string numberedText(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += std::to_string(text.size()) + ' ';
    return text;
}

} // namespace

TEST_CASE("bytes and long bodies arrive in the order in which they were written, and are released")
{
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    Tcp::socket peer(io);
    peer.connect(acceptor.local_endpoint());
    peer.non_blocking(true);
    const auto stream = std::make_shared<ByteStream>(acceptor.accept(), PeerLocation::SameVm);
    stream->start([](std::string_view) {}, [](StreamEnd) {});
    const auto reservation = std::make_shared<int>(0);
    std::string expected;
    for (int i = 0; i < 3; ++i) {
        const Body body(numberedText(longBytes));
        body.count(reservation);
        stream->write("head");
        stream->writeBody(body);
        stream->writeBody("short");
        expected += "head" + std::string(body.view()) + "short";
    }
    CHECK(stream->unsent() == expected.size());
    std::string received;
    CHECK(runUntil(io, [&] {
        std::string buffer(1 << 20, '\0');
        boost::system::error_code ignored;
        received.append(buffer, 0, peer.read_some(boost::asio::buffer(buffer), ignored));
        return received.size() >= expected.size();
    }));
    CHECK((received == expected));
    CHECK(stream->unsent() == 0);
    CHECK(stream->written() == expected.size());
    CHECK(reservation.use_count() == 1);
}

TEST_CASE("a long body without a length is read whole")
{
    ResponseParser parser(false, 2 * longBytes);
    const std::string body = numberedText(longBytes);
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < body.size(); i += 4096) {
        const std::string chunk = body.substr(i, 4096);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
        bytes += size + chunk + "\r\n";
    }
    parser.feed(bytes + "0\r\n\r\n");
    REQUIRE(parser.done());
    CHECK(parser.take().body == body);
}

TEST_CASE("a request that is not received for want of memory is reported as not run")
{
    HopServiceFixture fixture(
        [](const HttpRequest& request) { return ScriptedResponse { sealedResponse(request) }; });
    fixture.hop.refuse(fixture.origin, 5);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].number == 5);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK(fixture.upstream.requests().empty());
}

// Guards against retained responses without a bound, and against calling their requests not run afterwards.
TEST_CASE("retained responses make room, and the outcome of their requests is unknown then")
{
    HopServiceFixture fixture([](const HttpRequest& request) {
        return ScriptedResponse { sealedResponse(request, std::string(100'000, 'x')) };
    });
    MemoryAdmission& memory = fixture.state.memory;
    fixture.requestAndWait(1, false);
    fixture.responses.clear();
    CHECK(memory.budget().heldBytes() == 100'000);
    CHECK(memory.admits(MemoryUse::Response, memory.limit()));
    CHECK(memory.budget().heldBytes() == 0);
    CHECK(fixture.state.counters.retainedResponsesDropped == 1);
    fixture.hop.resume(fixture.origin, { 1 }, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
}

TEST_CASE("retained responses are released after their time")
{
    HopServiceFixture fixture([](const HttpRequest& request) {
        return ScriptedResponse { sealedResponse(request, std::string(100'000, 'x')) };
    });
    fixture.requestAndWait(1, false);
    fixture.responses.clear();
    fixture.state.timers.advance(fixture.state.now() + std::chrono::seconds(6));
    CHECK(fixture.state.memory.budget().heldBytes() == 0);
}
