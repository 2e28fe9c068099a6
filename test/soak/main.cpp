// A soak of real sidecar processes on loopback under random faults that a seed determines. The processes are
// killed, paused, stopped, restarted and told to reload; VMs are lost until their record has lapsed; the
// store goes down, comes back from an old copy, leaves watches unanswered and changes its configuration;
// upstreams close connections, reject requests and repeat responses late. Faults follow each other or
// overlap. The run fails unless all of this holds:
// - a success has the sealed and complete response of an upstream that ran the request
// - a non-idempotent request runs at most once, and not at all when its refusal says so
// - a valid request is not refused with 401 or 404
// - no API key reaches an upstream, and the upstream sees the caller's team and service
// - an upstream that names a limit gets no more than 1.5 times that, plus 5, in any 4 s from 3 s after
// - an upstream that says it is leaving gets no requests after the drain time, unless its node was disturbed
// - reads are served again after the faults, on a route that the newest configuration has added
#include "SoakFakes.h"
#include "process/ChildProcess.h"
#include "transport/Log.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

DEFINE_uint64(seed, 1, "The first seed.");
DEFINE_uint64(seeds, 1, "How many seeds to run, one after the other.");
DEFINE_uint64(nodes, 4, "Sidecars, each in a VM of its own on loopback.");
DEFINE_uint64(seconds, 8, "Seconds of faults for each seed.");
DEFINE_uint64(network, 0, "Third number of the loopback addresses, so that several soaks can run at once.");
DEFINE_string(sidecar, "build/ebony-sidecar", "The program.");
DEFINE_string(logs, "build/soak", "Where the logs of failed seeds are kept.");

namespace {

using namespace Ebonystack;
using namespace Ebonystack::Soak;
using namespace std::chrono_literals;
using Timer = boost::asio::steady_timer;
using Clock = std::chrono::steady_clock;

constexpr auto startupTime = 4s; // until all nodes are linked
constexpr auto recoveryTime = 6s; // after the last fault: nodes restart, records and links are restored
constexpr auto checkedTime = 2s; // the end of the recovery time, in which reads have to be served
constexpr double minServedShare = 0.9; // of these reads
constexpr auto requestInterval = 8ms;
constexpr auto restartPeriod = 100ms; // in the recovery time
constexpr int callerDeadline = 1400; // ms
constexpr int slowOrderDeadline = 5000; // ms; longer than a VM is lost
constexpr auto callerTimeoutSlack = 100ms; // after the deadline
constexpr auto shortestVmLoss = 500ms;
constexpr int longestVmLoss = 3000; // ms
constexpr int callerPort = 21000;
constexpr int peerPort = 21001;
constexpr int readyPort = 21002;
constexpr int upstreamPort = 21003;

struct SentRequest {
    bool nonIdempotent { false };
    bool checked { false }; // sent within checkedTime
    int status { 0 }; // 0: no response
};

class SoakRun {
public:
    explicit SoakRun(std::uint64_t seed)
        : m_seed(seed)
        , m_random(seed)
        , m_folder(std::filesystem::temp_directory_path() / ("ebony-soak-" + std::to_string(getpid())))
        , m_store(m_io)
    {
        std::filesystem::create_directories(m_folder);
        putConfig();
        for (std::uint64_t i = 0; i < FLAGS_nodes; ++i) {
            m_upstreams.push_back(std::make_unique<FakeUpstream>(
                m_io, address(i, upstreamPort), "i-" + std::to_string(i), m_observations, seed + i));
            putUpstreamRecord(i);
            m_nodes.push_back(startNode(i));
        }
    }

    ~SoakRun() { std::filesystem::remove_all(m_folder); }

    /// Returns whether every check held.
    bool run()
    {
        runFor(startupTime);
        sendRequests();
        scheduleFault();
        runFor(std::chrono::seconds(FLAGS_seconds));
        m_faultsOver = true;
        endFaults();
        runFor(recoveryTime - checkedTime);
        m_checking = true;
        runFor(checkedTime);
        m_sending = false;
        runFor(std::chrono::milliseconds(slowOrderDeadline) + callerTimeoutSlack + 500ms);
        checkInvariants();
        report();
        return m_observations.violations.empty();
    }

private:
    static std::string vmAddress(std::uint64_t node)
    {
        return "127.0." + std::to_string(FLAGS_network) + '.' + std::to_string(11 + node);
    }

    static std::string address(std::uint64_t node, int port)
    {
        return vmAddress(node) + ':' + std::to_string(port);
    }

    void putConfig()
    {
        ++m_version;
        writeConfig();
    }

    void writeConfig()
    {
        const auto route = [](const char* kind, const char* prefix, const char* timeout, int maxAttempts) {
            return nlohmann::json { { "host", "example" }, { "path_prefix", prefix }, { "route_kind", kind },
                { "timeout", timeout }, { "target_latency", "500ms" }, { "priority", 1 },
                { "service", "registry" }, { "max_attempts", maxAttempts } };
        };
        char version[16];
        std::snprintf(version, sizeof version, "%08x", m_version);
        m_store.put("op/config",
            nlohmann::json { { "version", version },
                { "routes",
                    { { "read", route("idempotent", "/r/", "1000ms", 2) },
                        { "order", route("non_idempotent", "/o/", "1000ms", 2) },
                        { "slow-order", route("non_idempotent", slowPath, "5000ms", 1) },
                        { "newest", route("idempotent", newestPath().c_str(), "1000ms", 2) } } },
                { "tenants", { { "team", { { "api_keys", { "k" } } } } } } }
                .dump());
    }

    std::string newestPath() const { return "/v" + std::to_string(m_version) + '/'; }

    /// Writes the record of a new run of the upstream.
    void putUpstreamRecord(std::uint64_t node)
    {
        m_starts[node] = ++m_lastStart;
        writeUpstreamRecord(node);
    }

    void writeUpstreamRecord(std::uint64_t node)
    {
        m_store.put(recordKey(node),
            nlohmann::json { { "address", address(node, upstreamPort) }, { "born", m_starts[node] },
                { "info", { { "service", "registry" }, { "zone", "a" }, { "slots", 40 } } },
                { "status", { { "state", "ready" }, { "cold_left", "0ms" }, { "sequence", ++m_sequence } } } }
                .dump());
    }

    static std::string recordKey(std::uint64_t node) { return "servers/i-" + std::to_string(node); }

    std::unique_ptr<ChildProcess> startNode(std::uint64_t node)
    {
        m_upstreams[node]->excuseLateArrivals();
        const auto settings = m_folder / ("node-" + std::to_string(node) + ".json");
        const std::string vm = vmAddress(node);
        std::ofstream(settings) << nlohmann::json { { "vm", vm }, { "dataCentre", "a" },
            { "service", "registry" }, { "upstreamAddress", address(node, upstreamPort) },
            { "callerAddress", address(node, callerPort) }, { "readinessAddress", address(node, readyPort) },
            { "storeAddress", m_store.address() }, { "peerPort", peerPort }, { "grace", "4s" } };
        const auto log
            = m_folder / ("node-" + std::to_string(node) + "-" + std::to_string(++m_nodeStarts) + ".log");
        return std::make_unique<ChildProcess>(
            std::vector<std::string> { FLAGS_sidecar, "--config", settings.string() }, log.string());
    }

    void runFor(Clock::duration time)
    {
        m_io.restart();
        m_io.run_for(time);
    }

    template <typename Step> void after(Clock::duration delay, Step step)
    {
        auto timer = std::make_shared<Timer>(m_io, delay);
        timer->async_wait([timer, step](const boost::system::error_code&) { step(); });
    }

    void sendRequests()
    {
        if (!m_sending)
            return;
        sendOne();
        after(requestInterval, [this] { sendRequests(); });
    }

    void sendOne()
    {
        const std::uint64_t node = m_random.below(FLAGS_nodes);
        const bool nonIdempotent = m_random.below(3) == 0;
        const bool isSlow = nonIdempotent && m_random.below(2) == 0;
        const int deadline = isSlow ? slowOrderDeadline : callerDeadline;
        const std::string path = isSlow ? slowPath
            : nonIdempotent             ? "/o/"
            : m_checking                ? newestPath()
                                        : "/r/";
        const std::string id = std::to_string(m_seed) + "-" + std::to_string(m_sent.size());
        m_sent[id] = { nonIdempotent, m_checking, 0 };
        connectStream(m_io, address(node, callerPort), 1s,
            [this, id, path, deadline](const std::shared_ptr<ByteStream>& stream) {
                if (!stream)
                    return;
                auto parser = std::make_shared<ResponseParser>(false, 1 << 20);
                stream->start(
                    [this, id, parser, weak = std::weak_ptr<ByteStream>(stream)](std::string_view bytes) {
                        parser->feed(bytes);
                        const auto connection = weak.lock();
                        if (!parser->done() || !connection)
                            return;
                        connection->close();
                        onResponse(id, parser->take());
                    },
                    [](StreamEnd) {});
                stream->write("GET " + path + "x HTTP/1.1\r\nHost: example\r\nEbonystack-Attempt-Id: " + id
                    + "\r\nEbonystack-Deadline-Ms: " + std::to_string(deadline)
                    + "\r\nAuthorization: Bearer k\r\n\r\n");
                after(
                    std::chrono::milliseconds(deadline) + callerTimeoutSlack, [stream] { stream->close(); });
            });
    }

    void onResponse(const std::string& id, const HttpResponse& response)
    {
        m_sent[id].status = response.head.status;
        if (response.head.status != 200)
            return;
        if (!response.head.fields.find("Ebonystack-Server-Seal") || response.body != "ok:" + id)
            m_observations.violations.push_back("response without a seal or with a wrong body to " + id);
        if (!m_observations.executions.contains(id))
            m_observations.violations.push_back("success without an execution at an upstream for " + id);
    }

    // Faults.

    void scheduleFault()
    {
        if (m_faultsOver)
            return;
        static constexpr std::array faults { &SoakRun::killNode, &SoakRun::loseVm, &SoakRun::pauseNode,
            &SoakRun::stopNode, &SoakRun::storeOutage, &SoakRun::restoreStore, &SoakRun::silenceWatches,
            &SoakRun::dropUpstreamConnections, &SoakRun::changeConfig, &SoakRun::reloadNode,
            &SoakRun::limitUpstream, &SoakRun::leaveUpstream, &SoakRun::rejectRequests };
        (this->*faults[m_random.below(faults.size())])(m_random.below(FLAGS_nodes));
        after(std::chrono::milliseconds(150 + m_random.below(900)), [this] { scheduleFault(); });
    }

    void killNode(std::uint64_t node)
    {
        m_upstreams[node]->excuseLateArrivals();
        m_nodes[node]->signal(SIGCONT);
        m_nodes[node]->signal(SIGKILL);
        restartLater(node, std::chrono::milliseconds(100 + m_random.below(1000)));
    }

    /// The VM loses power with its upstream, and is back after its record has lapsed.
    void loseVm(std::uint64_t node)
    {
        m_nodes[node]->signal(SIGCONT);
        m_nodes[node]->signal(SIGKILL);
        m_upstreams[node]->closeConnections();
        m_store.remove(recordKey(node));
        const auto loss = shortestVmLoss + std::chrono::milliseconds(m_random.below(longestVmLoss));
        after(loss, [this, node] { startAgain(node); });
        restartLater(node, loss);
    }

    void stopNode(std::uint64_t node)
    {
        m_upstreams[node]->excuseLateArrivals();
        m_nodes[node]->signal(SIGTERM);
        restartLater(node, std::chrono::milliseconds(3500 + m_random.below(1000)));
    }

    void pauseNode(std::uint64_t node)
    {
        m_upstreams[node]->excuseLateArrivals();
        m_nodes[node]->signal(SIGSTOP);
        after(std::chrono::milliseconds(100 + m_random.below(2500)),
            [this, node] { m_nodes[node]->signal(SIGCONT); });
    }

    void restartLater(std::uint64_t node, Clock::duration delay)
    {
        after(delay, [this, node] {
            if (m_nodes[node]->exitCode())
                m_nodes[node] = startNode(node);
        });
    }

    void storeOutage(std::uint64_t)
    {
        m_store.setDown(true);
        after(std::chrono::milliseconds(200 + m_random.below(2500)), [this] { m_store.setDown(false); });
    }

    /// The store is away for a moment and comes back from a copy. What is lost is written again.
    void restoreStore(std::uint64_t)
    {
        m_store.setDown(true);
        after(std::chrono::milliseconds(200 + m_random.below(1500)), [this] {
            m_store.restore(std::chrono::milliseconds(500 + m_random.below(6000)));
            m_store.setDown(false);
            after(std::chrono::milliseconds(200 + m_random.below(1800)), [this] { writeAgain(); });
        });
    }

    void writeAgain()
    {
        writeConfig();
        for (std::uint64_t node = 0; node < FLAGS_nodes; ++node)
            writeUpstreamRecord(node);
    }

    void silenceWatches(std::uint64_t) { m_store.silenceWatches(); }

    void limitUpstream(std::uint64_t node)
    {
        m_upstreams[node]->nameLimit(1 + static_cast<double>(m_random.below(12)));
        after(std::chrono::milliseconds(3000 + m_random.below(5000)),
            [this, node] { m_upstreams[node]->nameLimit(0); });
    }

    void leaveUpstream(std::uint64_t node)
    {
        m_upstreams[node]->leave();
        after(std::chrono::milliseconds(1000 + m_random.below(4000)), [this, node] { startAgain(node); });
    }

    void startAgain(std::uint64_t node)
    {
        m_upstreams[node]->startAgain();
        putUpstreamRecord(node);
    }

    void rejectRequests(std::uint64_t)
    {
        setRejecting(true);
        after(std::chrono::milliseconds(1000 + m_random.below(3000)), [this] { setRejecting(false); });
    }

    void setRejecting(bool isRejecting)
    {
        for (const auto& upstream : m_upstreams)
            upstream->setRejecting(isRejecting);
    }

    void dropUpstreamConnections(std::uint64_t node) { m_upstreams[node]->closeConnections(); }
    void changeConfig(std::uint64_t) { putConfig(); }
    void reloadNode(std::uint64_t node) { m_nodes[node]->signal(SIGHUP); }

    void endFaults()
    {
        m_store.setDown(false);
        m_store.silenceWatches();
        setRejecting(false);
        writeConfig();
        for (std::uint64_t node = 0; node < FLAGS_nodes; ++node) {
            startAgain(node);
            m_nodes[node]->signal(SIGCONT);
        }
        restartEnded();
    }

    /// Restarts nodes as soon as they have ended: a stop that a pause has delayed may end one in the recovery
    /// time.
    void restartEnded()
    {
        if (!m_sending)
            return;
        for (std::uint64_t node = 0; node < FLAGS_nodes; ++node)
            restartLater(node, 0ms);
        after(restartPeriod, [this] { restartEnded(); });
    }

    // Checks.

    void checkInvariants()
    {
        int checked = 0;
        int served = 0;
        for (const auto& [id, sent] : m_sent) {
            const auto found = m_observations.executions.find(id);
            const int executions = found == m_observations.executions.end() ? 0 : found->second;
            if (sent.nonIdempotent && executions > 1)
                m_observations.violations.push_back(
                    "non-idempotent request " + id + " ran " + std::to_string(executions) + " times");
            if (sent.nonIdempotent && (sent.status == 503 || sent.status == 429) && executions > 0)
                m_observations.violations.push_back(
                    "non-idempotent request " + id + " was refused as not run but ran");
            if (sent.status == 401 || sent.status == 404)
                m_observations.violations.push_back(
                    "valid request " + id + " was refused with status 401 or 404");
            checked += sent.checked && !sent.nonIdempotent ? 1 : 0;
            served += sent.checked && !sent.nonIdempotent && sent.status == 200 ? 1 : 0;
        }
        m_servedShare = checked > 0 ? static_cast<double>(served) / checked : 0;
        if (m_servedShare < minServedShare)
            m_observations.violations.push_back(
                "after the faults only " + std::to_string(m_servedShare) + " of reads are served");
    }

    void report()
    {
        std::printf("seed %llu: %zu requests, %zu run, served after the faults %.3f, %d starts: %s\n",
            static_cast<unsigned long long>(m_seed), m_sent.size(), m_observations.executions.size(),
            m_servedShare, m_nodeStarts, m_observations.violations.empty() ? "held" : "BROKEN");
        for (const std::string& violation : m_observations.violations)
            std::printf("    %s\n", violation.c_str());
        std::fflush(stdout);
        if (m_observations.violations.empty())
            return;
        const auto logFolder = std::filesystem::path(FLAGS_logs) / ("seed-" + std::to_string(m_seed));
        std::filesystem::create_directories(logFolder.parent_path());
        std::filesystem::copy(m_folder, logFolder,
            std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    }

    const std::uint64_t m_seed;
    RandomSource m_random;
    const std::filesystem::path m_folder;
    boost::asio::io_context m_io { 1 };
    UpstreamObservations m_observations;
    FakeStore m_store;
    std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
    std::vector<std::unique_ptr<ChildProcess>> m_nodes;
    std::map<std::string, SentRequest> m_sent;
    unsigned m_version { 0 };
    std::uint64_t m_lastStart { 0 }; // of an upstream, see UpstreamRecord::startedAt
    std::map<std::uint64_t, std::uint64_t> m_starts; // of the run of each node's upstream
    std::uint64_t m_sequence { 0 }; // of the last record, see UpstreamRecord::sequence
    int m_nodeStarts { 0 };
    bool m_sending { true };
    bool m_checking { false };
    bool m_faultsOver { false };
    double m_servedShare { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Runs sidecars under random faults and checks what callers and upstreams saw.\n\n"
        "    sidecar-soak --seed 1 --seeds 50\n\n"
        "Exit codes: 0 every check held, 1 a check failed; the logs of its seed are kept.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
        failed += SoakRun(seed).run() ? 0 : 1;
    std::printf("%llu passed, %d failed\n", static_cast<unsigned long long>(FLAGS_seeds) - failed, failed);
    return failed == 0 ? 0 : 1;
}
