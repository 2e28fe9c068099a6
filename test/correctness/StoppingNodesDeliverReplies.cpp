// Replies to other nodes that are not yet with their systems when a node is about to stop.
#include "support/LinksFixture.h"
#include "support/ScriptedUpstream.h"
#include "support/SidecarFixtures.h"
#include "transport/Sidecar.h"
#include "transport/SystemClock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

const HopOrigin entryNode { { "10.0.0.2" }, 1 };

/// A connection of the entry node to a node on loopback, whose system takes little at a time.
void connectAsEntryNode(Tcp::socket& peer, std::uint16_t port)
{
    peer.open(Tcp::v4());
    peer.set_option(boost::asio::socket_base::receive_buffer_size(32 << 10));
    peer.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    peer.non_blocking(true);
    peer.write_some(boost::asio::buffer(encodeFrame(LinkHello { entryNode.vm, entryNode.incarnation })));
}

/// A node in a process of its own, beside an upstream.
class NodeProcess {
public:
    explicit NodeProcess(const std::string& upstreamAddress)
    {
        SidecarSettings settings = makeSidecarSettings();
        settings.vm = { "127.0.0.1" };
        settings.upstreamAddress = upstreamAddress;
        settings.callerAddress = settings.readinessAddress = settings.vm.text + ":0";
        settings.storeAddress = settings.vm.text + ":1";
        settings.peerPort = port = freePort();
        settings.grace = 10s;
        m_process = ::fork();
        if (m_process != 0)
            return;
        const SimplePlatformAdapter adapter;
        Sidecar(settings, adapter, [] { return std::nullopt; }).run();
        ::_exit(0);
    }
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;
    ~NodeProcess()
    {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }

    void stop() const { ::kill(m_process, SIGTERM); }

    std::uint16_t port { 0 };

private:
    static std::uint16_t freePort()
    {
        boost::asio::io_context io;
        return Tcp::acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 }).local_endpoint().port();
    }

    pid_t m_process { 0 };
};

} // namespace

// Guards against a planned stop that cuts off a long response on its way to the entry node.
TEST_CASE("a reply is outstanding until the system of the node that it goes to has it")
{
    LinksFixture fixture(16 << 20);
    Tcp::socket peer(fixture.io);
    connectAsEntryNode(peer, fixture.acceptor.port());
    HopResponse response;
    response.number = 1;
    response.body = std::string(400'000, 'x');
    REQUIRE(runUntil(fixture.io, [&] { return fixture.links.reply(entryNode, response); }));
    CHECK_FALSE(runUntil(fixture.io, [&] { return !fixture.links.hasUnacknowledgedReplies(); }));
    std::string buffer(64 << 10, '\0');
    boost::system::error_code ignored;
    CHECK(runUntil(fixture.io, [&] {
        peer.read_some(boost::asio::buffer(buffer), ignored);
        return !fixture.links.hasUnacknowledgedReplies();
    }));
}

// Guards against a stop that waits for calls only, while a response is on its way to a slow entry node.
TEST_CASE("a node that is stopped runs until the entry node has the whole response")
{
    const std::string body(std::size_t { 16 } << 20, 'x');
    boost::asio::io_context io;
    ScriptedUpstream upstream(
        io, [&](const HttpRequest& request) { return ScriptedResponse { sealedResponse(request, body) }; });
    const NodeProcess node(upstream.address());
    Tcp::socket peer(io);
    const auto connect = [&] {
        try {
            if (!peer.is_open())
                connectAsEntryNode(peer, node.port);
        } catch (const boost::system::system_error&) { // the node does not listen yet
            peer.close();
        }
        return peer.is_open();
    };
    REQUIRE(runUntil(io, connect, 5s, [] { std::this_thread::sleep_for(10ms); }));
    HopRequest request;
    request.number = 1;
    request.route = { "read" };
    request.remainingTime = request.maxGateWait = 8s;
    request.idempotent = true;
    request.method = "GET";
    request.target = "/x/1";
    request.fields.add("X-Id", "1");
    peer.write_some(boost::asio::buffer(encodeFrame(request)));

    std::string buffer(64 << 10, '\0');
    std::size_t received = 0;
    const auto read = [&] {
        boost::system::error_code error;
        received += peer.read_some(boost::asio::buffer(buffer), error);
        return error && error != boost::asio::error::would_block;
    };
    REQUIRE(runUntil(
        io, [&] { return read() || received > 10'000; }, 5s, [] {}));
    node.stop();
    const Instant stoppedAt = monotonicNow();
    Instant heartbeatAt = stoppedAt;
    while (monotonicNow() - stoppedAt < 3s && !read()) {
        std::this_thread::sleep_for(30ms);
        if (monotonicNow() < heartbeatAt)
            continue;
        heartbeatAt += 250ms;
        boost::system::error_code ignored;
        peer.write_some(boost::asio::buffer(encodeFrame(LinkHeartbeat {})), ignored);
    }
    CHECK(received < body.size());
    CHECK(runUntil(io, read, 5s, [] {}));
    CHECK(received > body.size());
}
