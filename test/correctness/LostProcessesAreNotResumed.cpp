// Links between an entry node and the node of an upstream whose VM is lost and comes back.
#include "support/RunLoop.h"
#include "support/SidecarFixtures.h"
#include "transport/PeerLinks.h"
#include "transport/StreamAcceptor.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t messageBytes = 1 << 20;
const VmId entryVm { "127.0.0.1" };
const VmId upstreamVm { "127.0.0.2" };

/// What both nodes leave out of the events of links.
class LinkEvents : public PeerEvents {
public:
    LinkHeartbeat localHeartbeat() const override { return {}; }
    void onHeartbeat(const VmId&, const LinkHeartbeat&) override { }
    void onLinkUp(const VmId&, std::uint64_t) override { }
    void onLinkDown(const VmId&) override { }
    void onResponse(const VmId&, HopResponse) override { }
    void onResponseDiscarded(const VmId&, std::uint64_t) override { }
    void onStoreChanges(const StoreChangesResponse&) override { }
    void onTokenResponse(const TokenResponse&) override { }
    void onRequest(const HopOrigin&, HopRequest) override { }
    void onRequestRefused(const HopOrigin&, std::uint64_t) override { }
    void onCancel(const HopOrigin&, std::uint64_t) override { }
    void onResume(const HopOrigin&, const HopResume&) override { }
    void onOriginLost(const HopOrigin&, bool) override { }
    void onStoreChangesPush(const VmId&, const StoreChangesPush&) override { }
    StoreChangesResponse storeChanges(const StoreChangesRequest&) const override { return {}; }
    TokenResponse grantTokens(const TokenRequest&) override { return {}; }
};

/// The process of an upstream's node. Its upstream never responds, and it has no record of resumed requests.
class UpstreamProcess : public LinkEvents {
public:
    UpstreamProcess(std::uint64_t incarnation, std::uint16_t port)
        : m_links(m_io, m_log, *this, { upstreamVm, incarnation }, port, m_admission)
        , m_acceptor(m_io, upstreamVm.text + ':' + std::to_string(port),
              [this](auto socket) { m_links.accept(std::move(socket)); })
    {
    }

    void onRequest(const HopOrigin&, HopRequest request) override { requests.push_back(std::move(request)); }
    void onResume(const HopOrigin& origin, const HopResume& resume) override
    {
        for (const std::uint64_t number : resume.numbers) {
            HopResponse response;
            response.number = number;
            response.outcome = HopOutcome::NotRun;
            response.reason = HopReason::UnknownRequest;
            m_links.reply(origin, response);
        }
    }
    std::uint16_t port() const { return m_acceptor.port(); }
    void poll() { m_io.poll(); }

    std::vector<HopRequest> requests;

private:
    boost::asio::io_context m_io; // its end closes the connections, as the end of a process does
    DecisionLog m_log;
    MemoryAdmission m_admission { messageBytes };
    PeerLinks m_links;
    StreamAcceptor m_acceptor;
};

class EntryNode : public LinkEvents, public NodeTransport {
public:
    EntryNode(boost::asio::io_context& io, std::uint16_t port)
        : m_state(io, makeSidecarSettings(), m_adapter, 1)
        , m_links(io, m_state.log, *this, { entryVm, 1 }, port, m_state.memory)
        , m_entry(m_state, *this, 1)
    {
        ServingConfig config = makeServingConfig();
        for (RouteConfig& route : config.routes)
            route.timeout = 10s;
        m_state.config = std::make_shared<const ServingIndex>(config);
        m_state.directory.put(makeUpstreamRecord("i-2", upstreamVm.text), { 0, 1 }, m_state.now());
    }

    void linkWith(const std::vector<VmId>& vms)
    {
        m_links.setPeers(vms);
        m_links.tick(monotonicNow());
    }
    bool isLinked() const { return m_links.isUp(upstreamVm); }
    void begin(const std::string& path)
    {
        m_entry.begin(makeCallerRequest(path, "1"),
            [this](HttpResponse response) { responses.push_back(std::move(response)); });
    }

    void onLinkUp(const VmId& vm, std::uint64_t process) override { m_entry.onLinkUp(vm, process); }
    void onLinkDown(const VmId& vm) override { m_entry.onLinkDown(vm); }
    void onResponse(const VmId& vm, HopResponse response) override
    {
        m_entry.onResponse(vm, std::move(response));
    }

    bool canReach(const VmId& vm) const override { return m_links.isUp(vm); }
    std::optional<std::uint64_t> processAt(const VmId& vm) const override { return m_links.processAt(vm); }
    bool sendRequest(const VmId& vm, HopRequest request) override { return m_links.send(vm, request); }
    void sendCancel(const VmId& vm, std::uint64_t number) override { m_links.send(vm, HopCancel { number }); }
    void sendResume(const VmId& vm, const HopResume& resume) override { m_links.send(vm, resume); }
    bool requestTokens(const VmId&, const TokenRequest&) override { return false; }

    std::vector<HttpResponse> responses;

private:
    SimplePlatformAdapter m_adapter;
    SidecarState m_state;
    PeerLinks m_links;
    EntryService m_entry;
};

} // namespace

// Guards against running a request again that a lost process may have run, once its VM has a new record.
TEST_CASE("a request that ran at a lost process is not reported as not run by the one that follows it")
{
    boost::asio::io_context io;
    auto process = std::make_unique<UpstreamProcess>(21, 0);
    const std::uint16_t port = process->port();
    EntryNode entry(io, port);
    const auto runUntil = [&](const auto& condition) {
        return Testing::runUntil(io, condition, 1s, [&] {
            if (process)
                process->poll();
        });
    };
    entry.linkWith({ upstreamVm });
    REQUIRE(runUntil([&] { return entry.isLinked(); }));
    entry.begin("/order/1");
    REQUIRE(runUntil([&] { return process->requests.size() == 1; }));

    process.reset();
    REQUIRE(runUntil([&] { return !entry.isLinked(); }));
    entry.linkWith({}); // the upstream's record has lapsed
    process = std::make_unique<UpstreamProcess>(22, port);
    entry.linkWith({ upstreamVm });
    REQUIRE(runUntil([&] { return !entry.responses.empty(); }));
    CHECK(entry.responses[0].head.status == 502);
    CHECK(process->requests.empty());
}
