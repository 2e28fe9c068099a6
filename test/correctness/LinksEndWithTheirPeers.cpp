// Links to VMs that have left the directory.
#include "support/LinksFixture.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

// Guards against a link that stays open, and comes up, after it was removed from the table of links.
TEST_CASE("a link that is not wanted any more before the peer has responded is closed")
{
    boost::asio::io_context io;
    DecisionLog log;
    CountingEvents events;
    std::shared_ptr<ByteStream> accepted;
    bool hasEnded = false;
    std::size_t received = 0;
    const VmId peer { "127.0.0.2" };
    StreamAcceptor acceptor(io, peer.text + ":0", [&](auto socket) {
        accepted = std::make_shared<ByteStream>(std::move(socket), PeerLocation::OtherVm);
        accepted->start(
            [&](std::string_view bytes) { received += bytes.size(); }, [&](StreamEnd) { hasEnded = true; });
    });
    MemoryAdmission admission(1 << 20);
    PeerLinks links(io, log, events, { { "127.0.0.1" }, 9 }, acceptor.port(), admission);
    links.setPeers({ peer });
    links.tick(monotonicNow());
    REQUIRE(runUntil(io, [&] { return received > 0; }));
    links.setPeers({});
    links.tick(monotonicNow());
    accepted->write(encodeFrame(LinkHello { peer, 5 }));
    CHECK(runUntil(io, [&] { return hasEnded; }));
    CHECK(events.linksUp == 0);
}
