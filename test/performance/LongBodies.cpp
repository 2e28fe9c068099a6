// Measures the memory of real nodes for long bodies: VmHWM of each process, before and after its requests.
// The node is the entry of one request or of three at once, and beside the upstream for one entry node, for
// three, or for itself. Each case has new processes. Prints a table; fails if one body costs a node more than
// 1.5 times its size, if a node ends or exceeds its memory, or if a request has neither a response nor a
// refusal as not run. A short request goes through the same nodes every 20 ms and must not be lost.
#include "process/ChildProcess.h"
#include "soak/FakeStore.h"
#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"
#include "transport/StreamAcceptor.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

DEFINE_string(sidecar, "build/ebony-sidecar", "The program.");
DEFINE_uint64(network, 90, "Third number of the loopback addresses.");
DEFINE_uint64(memory, 260, "The memory of a node in MB.");
DEFINE_uint64(mebibytes, 64, "The length of a body in MiB.");

namespace {

using namespace Ebonystack;
using namespace Ebonystack::Soak;
using namespace std::chrono_literals;

constexpr double maxCostOfBody = 1.5; // times its size
constexpr auto deadline = 8s;
constexpr auto workTime = 300ms;
constexpr auto shortInterval = 20ms;
constexpr int callerPort = 21000;
constexpr int peerPort = 21001;
constexpr int readyPort = 21002;
constexpr int upstreamPort = 21003;
constexpr int storePort = 21004;

struct Case {
    const char* name;
    unsigned vms; // the last one has the upstream
    std::vector<unsigned> entries; // one long request at each, all at once
    unsigned measured; // the VM whose cost has a bound
    bool isLongResponse { false }; // the response is long instead of the request
};

std::string addressOf(unsigned vm, int port)
{
    const std::string host = "127.0." + std::to_string(FLAGS_network) + '.' + std::to_string(11 + vm);
    return port == 0 ? host : host + ':' + std::to_string(port);
}

/// Of a process, from /proc, in bytes; 0 if it has ended.
std::size_t memoryOf(pid_t process, const std::string& field)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ':'))
            return std::stoull(line.substr(field.size() + 1)) << 10;
    }
    return 0;
}

std::size_t bodyBytes() { return FLAGS_mebibytes << 20; }

double megabytes(std::size_t bytes) { return static_cast<double>(bytes) / (1 << 20); }

/// Serves every request after `workTime`.
class Upstream {
public:
    Upstream(boost::asio::io_context& io, const std::string& address, std::size_t responseBytes)
        : m_io(io)
        , m_responseBytes(responseBytes)
        , m_acceptor(io, address, [this](auto socket) { accept(std::move(socket)); })
    {
    }

private:
    void accept(boost::asio::ip::tcp::socket socket)
    {
        auto stream = std::make_shared<ByteStream>(std::move(socket), PeerLocation::SameVm);
        auto parser = std::make_shared<RequestParser>(16384, bodyBytes());
        stream->start(
            [this, stream, parser](std::string_view bytes) {
                parser->feed(bytes);
                if (!parser->done())
                    return;
                const HttpRequest request = parser->take();
                *parser = RequestParser(16384, bodyBytes());
                const bool isLong = request.head.target.starts_with("/long/");
                const std::string id(request.head.fields.find("Ebonystack-Attempt-Id").value_or(""));
                auto timer = std::make_shared<boost::asio::steady_timer>(m_io, workTime);
                timer->async_wait([this, stream, timer, id, isLong](const boost::system::error_code&) {
                    stream->write(fakeResponse(200, std::string(isLong ? m_responseBytes : 2, 'r'),
                        "Ebonystack-Attempt-Id: " + id + "\r\nEbonystack-Server-Seal: s\r\n"));
                });
            },
            [](StreamEnd) {});
    }

    boost::asio::io_context& m_io;
    const std::size_t m_responseBytes;
    StreamAcceptor m_acceptor;
};

struct Outcome {
    int status { 0 }; // 0: none yet, -1: the connection was closed
    std::string result; // the node's own code, if it is its own response

    bool isNotRun() const { return status == 503; }
};

class Run {
public:
    explicit Run(const Case& given)
        : m_case(given)
        , m_folder(std::filesystem::temp_directory_path() / ("ebony-long-bodies-" + std::to_string(getpid())))
        , m_store(m_io, storeAddresses(), HeartbeatEvents::None)
        , m_upstream(m_io, addressOf(given.vms - 1, upstreamPort), given.isLongResponse ? bodyBytes() / 2 : 2)
    {
        std::filesystem::create_directories(m_folder);
        const nlohmann::json route { { "host", "example" }, { "path_prefix", "/" },
            { "route_kind", "non_idempotent" }, { "timeout", "8000ms" }, { "target_latency", "2000ms" },
            { "priority", 1 }, { "service", "registry" }, { "max_attempts", 2 } };
        m_store.put("op/config",
            nlohmann::json { { "version", "00000001" }, { "routes", { { "all", route } } },
                { "limits", { { "max_body_bytes", bodyBytes() } } },
                { "tenants", { { "team", { { "api_keys", { "k" } } } } } } }
                .dump());
        for (unsigned vm = 0; vm < given.vms; ++vm)
            startNode(vm);
        renewEntry();
    }

    ~Run() { std::filesystem::remove_all(m_folder); }

    /// Returns whether all held.
    bool run()
    {
        runUntil([] { return false; }, 4s);
        std::vector<std::size_t> idle;
        for (unsigned vm = 0; vm < m_case.vms; ++vm)
            idle.push_back(memoryOf(m_pids[vm], "VmHWM"));
        sendShortRequests();
        for (const unsigned vm : m_case.entries)
            send(m_long.emplace_back(std::make_shared<Outcome>()), vm, "/long/1",
                m_case.isLongResponse ? 0 : bodyBytes());
        runUntil([this] { return std::ranges::all_of(m_long, isDone); }, deadline + 1s);
        m_isSending = false;
        runUntil([this] { return std::ranges::all_of(m_short, isDone); }, 2s);
        return report(idle);
    }

private:
    using OutcomePtr = std::shared_ptr<Outcome>;

    static bool isDone(const OutcomePtr& outcome) { return outcome->status != 0; }

    std::vector<std::string> storeAddresses() const
    {
        std::vector<std::string> addresses;
        for (unsigned vm = 0; vm < m_case.vms; ++vm)
            addresses.push_back(addressOf(vm, storePort));
        return addresses;
    }

    void startNode(unsigned vm)
    {
        const auto settings = m_folder / ("node-" + std::to_string(vm) + ".json");
        std::ofstream(settings) << nlohmann::json { { "vm", addressOf(vm, 0) }, { "dataCentre", "a" },
            { "service", "registry" }, { "upstreamAddress", addressOf(vm, upstreamPort) },
            { "callerAddress", addressOf(vm, callerPort) }, { "readinessAddress", addressOf(vm, readyPort) },
            { "storeAddress", addressOf(vm, storePort) }, { "peerPort", peerPort },
            { "memoryMegabytes", FLAGS_memory } };
        m_nodes.push_back(std::make_unique<ChildProcess>(
            std::vector<std::string> { FLAGS_sidecar, "--config", settings.string() },
            (m_folder / "node.log").string()));
        m_pids.push_back(m_nodes.back()->id());
    }

    void renewEntry()
    {
        const unsigned vm = m_case.vms - 1;
        m_store.renewEntry(vm, "servers/i-1",
            { { "address", addressOf(vm, upstreamPort) }, { "born", 1 },
                { "info", { { "service", "registry" }, { "zone", "a" }, { "slots", 40 } } },
                { "status", { { "state", "ready" }, { "cold_left", "0ms" } } } },
            ++m_sequence);
        after(1500ms, [this] { renewEntry(); });
    }

    template <typename Step> void after(Clock::duration delay, Step step)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait([timer, step](const boost::system::error_code&) { step(); });
    }

    template <typename Condition> void runUntil(Condition condition, Clock::duration limit)
    {
        const auto end = Clock::now() + limit;
        while (!condition() && Clock::now() < end) {
            m_io.restart();
            m_io.run_one_for(5ms);
        }
    }

    void sendShortRequests()
    {
        if (!m_isSending)
            return;
        send(m_short.emplace_back(std::make_shared<Outcome>()),
            m_case.entries[m_short.size() % m_case.entries.size()], "/short/1", 0);
        after(shortInterval, [this] { sendShortRequests(); });
    }

    void send(const OutcomePtr& outcome, unsigned vm, const std::string& path, std::size_t bytes)
    {
        connectStream(m_io, addressOf(vm, callerPort), PeerLocation::SameVm, 1s,
            [this, outcome, path, bytes](const std::shared_ptr<ByteStream>& stream) {
                if (!stream) {
                    outcome->status = -1;
                    return;
                }
                auto parser = std::make_shared<ResponseParser>(false, bodyBytes());
                stream->start(
                    [outcome, stream, parser](std::string_view received) {
                        parser->feed(received);
                        if (!parser->done() || outcome->status != 0)
                            return;
                        const HttpResponse response = parser->take();
                        outcome->status = response.head.status;
                        outcome->result = response.head.fields.find("Ebony-Result").value_or("");
                        stream->close();
                    },
                    [outcome](StreamEnd) { outcome->status = outcome->status == 0 ? -1 : outcome->status; });
                RequestHead head { bytes > 0 ? "POST" : "GET", path, {}, true };
                head.fields.add("Host", "example");
                head.fields.add("Ebonystack-Attempt-Id", std::to_string(++m_lastId));
                head.fields.add(
                    "Ebonystack-Deadline-Ms", std::to_string(std::chrono::milliseconds(deadline).count()));
                head.fields.add("Authorization", "Bearer k");
                stream->write(writeRequestHead(head, bytes));
                if (bytes > 0)
                    stream->writeBody(m_body);
            });
    }

    bool report(const std::vector<std::size_t>& idle)
    {
        bool holds = true;
        for (unsigned vm = 0; vm < m_case.vms; ++vm) {
            const std::size_t peak = memoryOf(m_pids[vm], "VmHWM");
            const std::size_t cost = peak - std::min(peak, idle[vm]);
            const bool isBounded = vm == m_case.measured && m_case.entries.size() == 1;
            const double ratio = static_cast<double>(cost) / static_cast<double>(bodyBytes());
            const bool isHeld
                = peak > 0 && megabytes(peak) <= FLAGS_memory && (!isBounded || ratio <= maxCostOfBody);
            holds = holds && isHeld;
            std::printf("%-28s node %u: idle %3.0f MB, peak %3.0f MB, cost %.2f bodies%s\n", m_case.name, vm,
                megabytes(idle[vm]), megabytes(peak), ratio, isHeld ? "" : "  FAILED");
        }
        std::printf("%-28s long:", m_case.name);
        for (const OutcomePtr& outcome : m_long) {
            std::printf(
                " %d%s%s", outcome->status, outcome->result.empty() ? "" : "/", outcome->result.c_str());
            holds = holds && (outcome->status == 200 || outcome->isNotRun());
        }
        const auto served
            = std::ranges::count_if(m_short, [](const auto& each) { return each->status == 200; });
        const auto total = static_cast<long>(m_short.size());
        holds = holds && served == total;
        std::printf(
            "; short: %ld of %ld served%s\n", static_cast<long>(served), total, holds ? "" : "  FAILED");
        return holds;
    }

    const Case m_case;
    const std::filesystem::path m_folder;
    boost::asio::io_context m_io;
    FakeStore m_store;
    Upstream m_upstream;
    const Body m_body { std::string(bodyBytes(), 'x') };
    std::vector<std::unique_ptr<ChildProcess>> m_nodes;
    std::vector<pid_t> m_pids;
    std::vector<OutcomePtr> m_long;
    std::vector<OutcomePtr> m_short;
    bool m_isSending { true };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_lastId { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<Case> cases {
        { "entry of one", 2, { 0 }, 0 },
        { "hop of one", 2, { 0 }, 1 },
        { "entry and hop of one", 1, { 0 }, 0 },
        { "entry of three at once", 2, { 0, 0, 0 }, 0 },
        { "hop of three at once", 4, { 0, 1, 2 }, 3 },
        { "entry and hop of three", 1, { 0, 0, 0 }, 0 },
        { "hop of two, entry of one", 3, { 0, 1, 2 }, 2 },
        { "responses of half of it", 2, { 0, 0, 0 }, 0, true },
    };
    bool holds = true;
    for (const Case& each : cases)
        holds = Run(each).run() && holds;
    return holds ? 0 : 1;
}
