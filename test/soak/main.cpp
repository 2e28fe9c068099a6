// A soak of real sidecar processes on loopback under random faults that a seed determines. The processes are
// killed, paused, stopped, restarted and told to reload, also in series; VMs are lost until their record has
// lapsed; the store goes down, comes back from an old copy, leaves watches unanswered, turns single VMs away
// and changes its configuration; upstreams leave, crash, close connections, reject requests and repeat
// responses late. Some callers read slowly. Faults follow each other or overlap. Callers keep their
// connections until the process is gone. The run fails unless all of this holds:
// - a success has the sealed and complete response of an upstream that ran the request
// - a non-idempotent request runs at most once, and not at all when its refusal says so
// - a valid request is not refused with 401 or 404
// - no API key reaches an upstream, and the upstream sees the caller's team and service
// - an upstream that names a limit gets no more than 1.5 times that, plus 5, in any 4 s from 3 s after
// - an upstream that says it is leaving gets no requests after the drain time, unless its node was disturbed
//   before it has said so again
// - no request reaches an upstream later than the drain time after the store has acknowledged that it leaves,
//   unless the store, the node beside it or the request's entry node was disturbed in the last 3 s
// - no success comes on a connection with no request waiting, and no node ends by itself
// - a node ends no connection before the response to a request that runs, and callers get what the
//   upstream has sent, also those who read slowly, unless there was an unplanned disturbance or the grace
//   time is over
// - no node uses more memory than it may
// - reads are served again after the faults, on a route that the newest configuration has added
#include "LoopLag.h"
#include "SoakCallers.h"
#include "SoakContent.h"
#include "SoakFaults.h"
#include "SoakSite.h"
#include "SoakTraffic.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_uint64(seed, 1, "The first seed.");
DEFINE_uint64(seeds, 1, "How many seeds to run, one after the other.");
DEFINE_uint64(nodes, 4, "Sidecars, each in a VM of its own on loopback.");
DEFINE_uint64(seconds, 8, "Seconds of faults for each seed.");
DEFINE_uint64(network, 0, "Third number of the loopback addresses, so that several soaks can run at once.");
DEFINE_string(sidecar, "build/ebony-sidecar", "The program.");
DEFINE_string(only, "",
    "The only kind of fault or traffic, at longer intervals; empty: the mix of all but long-bodies. See "
    "SoakFaults.cpp and SoakTraffic.cpp.");
DEFINE_string(logs, "build/soak", "Where the logs of failed seeds are kept.");

namespace {

using namespace Ebonystack;
using namespace Ebonystack::Soak;
using namespace std::chrono_literals;
using Timer = boost::asio::steady_timer;

constexpr auto startupTime = 4s; // until all nodes are linked
constexpr auto recoveryTime = 6s; // after the last fault: nodes restart, records and links are restored
constexpr auto checkedTime = 2s; // the end of the recovery time, in which reads have to be served
constexpr double minServedShare = 0.9; // of these reads
constexpr auto requestIntervalOfVm = 32ms;
constexpr auto minRequestInterval = 2ms;
constexpr auto callerDeadline = 1400ms;
constexpr auto slowOrderDeadline = 5000ms;
constexpr auto lastResponseWait = 600ms; // after the last deadline
constexpr auto lagPeriod = 10ms;

struct SentRequest {
    bool nonIdempotent { false };
    bool checked { false }; // sent within checkedTime
    bool hasContent { false }; // its response does
    int status { 0 }; // 0: no response
};

/// Both kinds of platforms, by turns.
HeartbeatEvents heartbeatEventsOf(std::uint64_t seed)
{
    return seed % 2 == 0 ? HeartbeatEvents::Each : HeartbeatEvents::None;
}

class SoakRun {
public:
    explicit SoakRun(std::uint64_t seed)
        : m_seed(seed)
        , m_random(seed)
        , m_folder(makeFolder())
        , m_site(m_io, { seed, FLAGS_nodes, FLAGS_network, FLAGS_sidecar, m_folder, heartbeatEventsOf(seed) })
        , m_faults(m_io, m_site, seed, FLAGS_only)
        , m_traffic(m_io, m_site, seed, FLAGS_only,
              [this](std::uint64_t vm, CallerRequest request) { sendSpecial(vm, std::move(request)); })
        , m_callers(
              m_io, seed, m_site.answerCheck(),
              [this](const std::string& id, const HttpResponse& response) { onResponse(id, response); },
              [this](std::string_view bytes) { onStray(bytes); })
    {
    }

    ~SoakRun() { std::filesystem::remove_all(m_folder); }

    /// Returns whether every check held.
    bool run()
    {
        watchLag(Clock::now());
        runFor(startupTime);
        sendRequests();
        m_faults.begin();
        m_traffic.begin();
        runFor(std::chrono::seconds(FLAGS_seconds));
        m_faults.end();
        m_traffic.end();
        runFor(recoveryTime - checkedTime);
        m_checking = true;
        runFor(checkedTime);
        m_sending = false;
        m_faults.stop();
        runFor(slowOrderDeadline + lastResponseWait);
        checkInvariants();
        report();
        return violations().empty();
    }

private:
    static std::filesystem::path makeFolder()
    {
        auto folder = std::filesystem::temp_directory_path() / ("ebony-soak-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        return folder;
    }

    std::vector<std::string>& violations() { return m_site.observations().violations; }

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

    /// Measures how long the soak itself was not run.
    void watchLag(Clock::time_point due)
    {
        m_site.drainCheck().onTurn();
        m_loopLag.onTurn(due);
        after(lagPeriod, [this, next = Clock::now() + lagPeriod] { watchLag(next); });
    }

    void sendRequests()
    {
        if (!m_sending)
            return;
        sendOne();
        const auto interval = requestIntervalOfVm / static_cast<int>(FLAGS_nodes);
        after(std::max<Clock::duration>(interval, minRequestInterval), [this] { sendRequests(); });
    }

    void sendOne()
    {
        const std::uint64_t vm = m_random.below(FLAGS_nodes);
        const bool nonIdempotent = m_random.below(3) == 0;
        const bool isSlow = nonIdempotent && m_random.below(2) == 0;
        const std::string path = isSlow ? slowPath
            : nonIdempotent             ? "/o/"
            : m_checking                ? m_site.newestPath()
                                        : "/r/";
        const std::string id = std::to_string(m_seed) + "-" + std::to_string(m_sent.size());
        m_sent[id] = { .nonIdempotent = nonIdempotent, .checked = m_checking };
        take(vm, { m_site.callerAddress(vm), id, path, isSlow ? slowOrderDeadline : callerDeadline },
            m_owesAll);
    }

    /// A request of m_traffic.
    void sendSpecial(std::uint64_t vm, CallerRequest request)
    {
        request.address = m_site.callerAddress(vm);
        request.id = std::to_string(m_seed) + "-x" + std::to_string(m_sent.size());
        m_sent[request.id] = { .nonIdempotent = true, .hasContent = request.path != longPath };
        take(vm, request, true);
    }

    void take(std::uint64_t vm, const CallerRequest& request, bool isOwed)
    {
        m_site.drainCheck().onTaken(request.id, vm);
        m_site.answerCheck().onSent(
            request.id, vm, request.deadline, isOwed, request.reading != Reading::AtOnce);
        m_callers.send(request);
    }

    void onResponse(const std::string& id, const HttpResponse& response)
    {
        m_sent[id].status = response.head.status;
        if (response.head.status != 200)
            return;
        const bool isWhole
            = m_sent[id].hasContent ? isWholeContent(response.body.view(), id) : response.body == "ok:" + id;
        if (!response.head.fields.find("Ebonystack-Server-Seal") || !isWhole)
            violations().push_back("response without a seal or with a wrong body to " + id + ", "
                + std::to_string(response.body.size()) + " bytes");
        if (!m_site.observations().executions.contains(id))
            violations().push_back("success without an execution at an upstream for " + id);
    }

    void onStray(std::string_view bytes)
    {
        if (bytes.starts_with("HTTP/1.1 2"))
            violations().push_back("a success on a connection with no request waiting");
    }

    void checkInvariants()
    {
        int checked = 0;
        int served = 0;
        const auto& executed = m_site.observations().executions;
        for (const auto& [id, sent] : m_sent) {
            const auto found = executed.find(id);
            const int executions = found == executed.end() ? 0 : found->second;
            if (sent.nonIdempotent && executions > 1)
                violations().push_back(
                    "non-idempotent request " + id + " ran " + std::to_string(executions) + " times");
            if (sent.nonIdempotent && (sent.status == 503 || sent.status == 429) && executions > 0)
                violations().push_back("non-idempotent request " + id + " was refused as not run but ran");
            if (sent.status == 401 || sent.status == 404)
                violations().push_back("valid request " + id + " was refused with status 401 or 404");
            checked += sent.checked && !sent.nonIdempotent ? 1 : 0;
            served += sent.checked && !sent.nonIdempotent && sent.status == 200 ? 1 : 0;
        }
        m_servedShare = checked > 0 ? static_cast<double>(served) / checked : 0;
        if (m_servedShare < minServedShare)
            violations().push_back(
                "after the faults only " + std::to_string(m_servedShare) + " of reads are served");
        const auto& late = m_site.drainCheck().violations();
        violations().insert(violations().end(), late.begin(), late.end());
        const auto unanswered = m_site.answerCheck().violations();
        violations().insert(violations().end(), unanswered.begin(), unanswered.end());
    }

    void report()
    {
        const DrainCheck& drain = m_site.drainCheck();
        std::printf("seed %llu: %zu requests on %llu connections, %zu run, served after the faults %.3f, "
                    "%d starts, %d of %d leavings bind, latest excused arrival after leaving %.2f s, "
                    "%d responses owed, %d excused, %s: %s\n",
            static_cast<unsigned long long>(m_seed), m_sent.size(),
            static_cast<unsigned long long>(m_callers.connectionCount()),
            m_site.observations().executions.size(), m_servedShare, m_site.nodeStarts(),
            drain.bindingLeavings(), drain.leavings(), drain.latestExcusedArrival().count(),
            m_site.answerCheck().owedCount(), m_site.answerCheck().excusedCount(),
            m_loopLag.description().c_str(), violations().empty() ? "held" : "BROKEN");
        for (const std::string& violation : violations())
            std::printf("    %s\n", violation.c_str());
        std::fflush(stdout);
        if (violations().empty())
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
    SoakSite m_site;
    SoakFaults m_faults;
    SoakTraffic m_traffic;
    SoakCallers m_callers;
    std::map<std::string, SentRequest> m_sent;
    const bool m_owesAll { FLAGS_only == "long-bodies" }; // nothing else is disturbed
    bool m_sending { true };
    bool m_checking { false };
    double m_servedShare { 0 };
    LoopLag m_loopLag;
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
