// A node ends within the grace that its settings file has when it is told to stop.
#include "support/SidecarFixtures.h"
#include "transport/Sidecar.h"
#include "transport/SystemClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <optional>
#include <thread>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

SidecarSettings settingsWithGrace(Duration grace)
{
    SidecarSettings settings = makeSidecarSettings();
    settings.vm = { "127.0.118.11" };
    settings.callerAddress = "127.0.118.11:21000";
    settings.peerPort = 21001;
    settings.readinessAddress = "127.0.118.11:21002";
    settings.upstreamAddress = "127.0.118.11:21003";
    settings.storeAddress = "127.0.118.11:21004";
    settings.grace = grace;
    return settings;
}

} // namespace

// Guards against requests that are accepted for a time that the node doesn't have.
TEST_CASE("a grace that was shortened without a signal is in force at the next stop")
{
    constexpr Duration shortened = 4s;
    const SimplePlatformAdapter adapter;
    std::optional<Sidecar> sidecar(
        std::in_place, settingsWithGrace(20s), adapter, [&] { return settingsWithGrace(shortened); });
    Instant toldAt;
    std::thread caller([&] {
        boost::asio::io_context io;
        Tcp::socket socket(io);
        socket.connect({ boost::asio::ip::make_address("127.0.118.11"), 21000 });
        // The node waits for the rest of a request for as long as it can.
        boost::asio::write(socket,
            boost::asio::buffer(
                std::string("POST /order/1 HTTP/1.1\r\nHost: example\r\nContent-Length: 10\r\n\r\nhalf")));
        std::this_thread::sleep_for(200ms);
        toldAt = monotonicNow();
        std::raise(SIGTERM);
        std::string rest(1000, '\0');
        boost::system::error_code ignored;
        boost::asio::read(socket, boost::asio::buffer(rest), ignored);
    });
    sidecar->run();
    const Duration took = monotonicNow() - toldAt;
    sidecar.reset(); // closes the connection
    caller.join();
    CHECK(took <= shortened);
}
