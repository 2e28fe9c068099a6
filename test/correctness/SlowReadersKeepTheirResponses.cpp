// Peers that have no room for a while, and peers that are silent.
#include "support/RunLoop.h"
#include "transport/ByteStream.h"
#include "transport/SystemClock.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <linux/filter.h>
#include <optional>
#include <sys/socket.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

/// A stream to a peer with a small window, whose socket the test reads itself.
struct SmallWindowFixture {
    explicit SmallWindowFixture(PeerLocation location)
    {
        Tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        peer.open(Tcp::v4());
        peer.set_option(boost::asio::socket_base::receive_buffer_size(windowBytes));
        peer.connect(acceptor.local_endpoint());
        peer.non_blocking(true);
        stream = std::make_shared<ByteStream>(acceptor.accept(), location);
        stream->start([](std::string_view) {}, [this](StreamEnd how) { end = how; });
        stream->write(std::string(responseBytes, 'x'));
    }

    /// Whether the stream ends while the peer reads nothing.
    bool endsWithin(std::chrono::seconds limit)
    {
        return runUntil(
            io, [&] { return end.has_value(); }, limit, [] {});
    }

    /// Reads until the peer has `responseBytes` or the connection ends.
    std::size_t readAll()
    {
        std::string buffer(windowBytes, '\0');
        std::size_t received = 0;
        boost::system::error_code error;
        const auto read = [&] {
            received += peer.read_some(boost::asio::buffer(buffer), error);
            return received == responseBytes || (error && error != boost::asio::error::would_block);
        };
        runUntil(io, read, 5s, [] {});
        return received;
    }

    /// From now on the peer's system drops all that arrives for it, as if the network did.
    void silencePeer()
    {
        sock_filter dropAll { BPF_RET | BPF_K, 0, 0, 0 };
        const sock_fprog program { 1, &dropAll };
        REQUIRE(
            ::setsockopt(peer.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0);
    }

    static constexpr int windowBytes = 32 << 10;
    static constexpr std::size_t responseBytes = 400'000;
    boost::asio::io_context io;
    Tcp::socket peer { io };
    std::shared_ptr<ByteStream> stream;
    std::optional<StreamEnd> end;
};

} // namespace

// Guards against the bound on silent peers ending a connection whose peer acknowledges and has no room.
TEST_CASE("a peer on the same VM that has no room for four seconds gets the rest of its response")
{
    SmallWindowFixture fixture(PeerLocation::SameVm);
    CHECK_FALSE(fixture.endsWithin(4s));
    CHECK(fixture.readAll() == SmallWindowFixture::responseBytes);
}

TEST_CASE("a connection to another VM whose peer is silent while it has bytes to acknowledge ends within "
          "four seconds")
{
    SmallWindowFixture fixture(PeerLocation::OtherVm);
    fixture.silencePeer();
    CHECK(fixture.endsWithin(4s));
    CHECK(fixture.end == StreamEnd::Broken);
}

TEST_CASE("a slow reader that leaves is noticed at once")
{
    SmallWindowFixture fixture(PeerLocation::SameVm);
    REQUIRE_FALSE(fixture.endsWithin(1s));
    fixture.peer.close();
    CHECK(fixture.endsWithin(1s));
}
