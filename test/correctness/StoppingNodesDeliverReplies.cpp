// Replies to other nodes that are not yet with their systems when a node is about to stop.
#include "support/LinksFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

// Guards against a planned stop that cuts off a long response on its way to the entry node.
TEST_CASE("a reply is outstanding until the system of the node that it goes to has it")
{
    using Tcp = boost::asio::ip::tcp;
    LinksFixture fixture(16 << 20);
    Tcp::socket peer(fixture.io);
    peer.open(Tcp::v4());
    peer.set_option(boost::asio::socket_base::receive_buffer_size(32 << 10));
    peer.connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.acceptor.port() });
    peer.non_blocking(true);
    const HopOrigin origin { { "10.0.0.2" }, 1 };
    peer.write_some(boost::asio::buffer(encodeFrame(LinkHello { origin.vm, origin.incarnation })));
    HopResponse response;
    response.number = 1;
    response.body = std::string(400'000, 'x');
    REQUIRE(runUntil(fixture.io, [&] { return fixture.links.reply(origin, response); }));
    CHECK_FALSE(runUntil(fixture.io, [&] { return !fixture.links.hasUnacknowledgedReplies(); }));
    std::string buffer(64 << 10, '\0');
    boost::system::error_code ignored;
    CHECK(runUntil(fixture.io, [&] {
        peer.read_some(boost::asio::buffer(buffer), ignored);
        return !fixture.links.hasUnacknowledgedReplies();
    }));
}
