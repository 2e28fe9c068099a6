// Real nodes among clients that don't behave. Each case is one crowd, with the limits of the nodes that it
// meets. A case holds if no process ends, if each stays within its memory and its descriptors, if an ordinary
// request is answered beside the crowd and another one after it, and if the nodes then end when they are told
// to. Run one case at a time, apart from other load. Exit codes: 0 it holds, 1 it doesn't, 2 wrong arguments.
#include "CrowdClient.h"
#include "CrowdSite.h"
#include "ProcessUse.h"
#include "transport/HttpCodec.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(sidecar, "build/ebony-sidecar", "The program of the nodes.");
DEFINE_string(only, "", "The name of the case to run. Default: all, one after the other.");
DEFINE_uint32(network, 120, "Third number of the loopback addresses.");
DEFINE_uint32(memory, 0, "The memory of a node in MB, for trials; 0: the case's own.");
DEFINE_uint32(clients, 0, "The number of clients, for trials; 0: the case's own.");

namespace {

using namespace Ebonystack;
using namespace Ebonystack::Clients;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto startTime = 4s;
constexpr auto crowdTime = 12s;
constexpr auto ordinaryPeriod = 250ms;
/// For an ordinary request after the crowd, and for the end of a process: it is found to hang.
constexpr auto hangTime = 30s;

struct Case {
    const char* name;
    CrowdClient::Behaviour behaviour;
    unsigned clients;
    std::size_t bytes; // of each body
    NodeLimits limits;
    unsigned nodes { 1 }; // the crowd is at the first one, the upstream beside the last one
    bool staysAtStop { false }; // the crowd is there until the process has ended
    CrowdClient::Behaviour before { nullptr }; // of as many clients for some seconds before, if set
    std::size_t bytesBefore { 0 };
    bool isAtMetrics { false }; // the crowd connects to the port of the metrics
};

const std::vector<Case>& allCases()
{
    using C = CrowdClient;
    static const std::vector<Case> cases {
        { "UnfinishedChunks", &C::sendUnfinishedChunks, 80, 1 << 20, { 64, 1000 } },
        { "UnfinishedChunksAtStop", &C::sendUnfinishedChunks, 80, 1 << 20, { 64, 1000 }, 1, true },
        { "UnfinishedBodies", &C::sendAllButLastByte, 500, 200'000, { 96, 1000 } },
        { "UnfinishedShortBodies", &C::sendAllButLastByte, 590, 60'000, { 64, 1000 } },
        { "TrickledBodies", &C::trickle, 200, 150'000, { 64, 500 } },
        { "WholeBodies", &C::sendWholeBody, 200, 1 << 20, { 64, 1000 } },
        { "AbandonedBodies", &C::sendAndLeave, 200, 200'000, { 64, 1000 } },
        { "SlowReaders", &C::readSlowly, 100, 4'000'000, { 64, 1000 } },
        { "SlowReadersAtStop", &C::readSlowly, 100, 4'000'000, { 64, 1000 }, 1, true },
        { "Mixed", &C::mix, 100, 4 << 20, { 64, 1000 } },
        { "EndlessAfterOrders", &C::readEndless, 60, 1000, { 64, 1000 }, 1, false, &C::sendWholeBody,
            250'000 },
        { "SilentConnections", &C::staySilent, 900, 0, { 64, 500 } },
        { "UnfinishedHeads", &C::sendPartOfHead, 580, 0, { 64, 1000 } },
        { "PipelinedRequests", &C::pipeline, 300, 12'000, { 64, 1000 } },
        { "RemoteUnfinishedChunks", &C::sendUnfinishedChunks, 80, 1 << 20, { 64, 1000 }, 2 },
        { "RemoteWholeBodies", &C::sendWholeBody, 200, 1 << 20, { 64, 1000 }, 2 },
        { "RemoteSlowReaders", &C::readSlowly, 100, 4'000'000, { 64, 1000 }, 2 },
        { "RemoteMixed", &C::mix, 100, 4 << 20, { 64, 1000 }, 2 },
        { "SilentMetricsConnections", &C::staySilent, 900, 0, { 64, 500 }, 1, false, nullptr, 0, true },
        { "UnreadMetrics", &C::askForPages, 100, 0, { 64, 500 }, 1, false, nullptr, 0, true },
    };
    return cases;
}

/// Sends a short request again and again, each time on a new connection.
class OrdinaryCaller {
public:
    OrdinaryCaller(boost::asio::io_context& io, std::string address)
        : m_io(io)
        , m_address(std::move(address))
    {
        send();
    }

    unsigned answered() const { return m_answered; }
    unsigned sent() const { return m_sent; }

private:
    void send()
    {
        ++m_sent;
        connectStream(
            m_io, m_address, PeerLocation::SameVm, 2s, [this](const std::shared_ptr<ByteStream>& stream) {
                if (stream)
                    talk(stream);
            });
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, ordinaryPeriod);
        timer->async_wait([this, timer](const boost::system::error_code&) { send(); });
    }

    void talk(const std::shared_ptr<ByteStream>& stream)
    {
        auto parser = std::make_shared<ResponseParser>(false, 1 << 20);
        stream->start(
            [this, parser, weak = std::weak_ptr(stream)](std::string_view bytes) {
                parser->feed(bytes);
                if (!parser->done())
                    return;
                m_answered += parser->take().head.status == 200;
                *parser = ResponseParser(false, 1 << 20);
                if (const auto open = weak.lock())
                    open->close();
            },
            [](StreamEnd) {});
        RequestHead head { "POST", orderPath + "100/", {}, true };
        head.fields.add("Host", "example");
        head.fields.add("Ebonystack-Attempt-Id", "ordinary-" + std::to_string(m_sent));
        head.fields.add("Ebonystack-Deadline-Ms", "5000");
        head.fields.add("Authorization", "Bearer k");
        stream->write(writeRequest(head, "a short body"));
    }

    boost::asio::io_context& m_io;
    const std::string m_address;
    unsigned m_sent { 0 };
    unsigned m_answered { 0 };
};

class Run {
public:
    explicit Run(const Case& given)
        : m_case(given)
        , m_limits { FLAGS_memory ? FLAGS_memory : given.limits.memoryMegabytes, given.limits.descriptors }
        , m_site(m_io, FLAGS_sidecar, given.nodes, m_limits, FLAGS_network)
    {
    }

    /// Returns whether all held.
    bool run()
    {
        runFor(startTime);
        std::vector<std::unique_ptr<UseSampler>> samplers;
        for (unsigned node = 0; node < m_site.nodeCount(); ++node)
            samplers.push_back(std::make_unique<UseSampler>(m_site.node(node).id(), m_site.hostOf(node)));
        if (m_case.before) {
            startCrowd(m_case.before, m_case.bytesBefore);
            runFor(crowdTime / 2);
            stopCrowd(true);
        }
        startCrowd(m_case.behaviour, m_case.bytes);
        OrdinaryCaller caller(m_io, m_site.callerAddress());
        runFor(crowdTime);
        check(caller.answered() > 0, "no ordinary request was answered beside the crowd");
        const unsigned beside = caller.answered();
        const unsigned sentBeside = caller.sent();
        if (!m_case.staysAtStop) {
            stopCrowd(true);
            runFor(returnTime);
            const unsigned before = caller.answered();
            runUntil([&] { return caller.answered() > before; }, hangTime);
            check(caller.answered() > before, "no ordinary request was answered after the crowd");
        }
        stopNodes();
        for (unsigned node = 0; node < m_site.nodeCount(); ++node) {
            const UseSampler& use = *samplers[node];
            std::printf("%s, node %u: peak %.0f MB of %u (%.0f MB not read), %zu descriptors of %u\n",
                m_case.name, node, megabytes(use.peakMemory()), m_limits.memoryMegabytes,
                megabytes(use.peakUnread()), use.peakDescriptors(), m_limits.descriptors);
            check(megabytes(use.peakMemory()) <= m_limits.memoryMegabytes, "a node went over its memory");
            check(use.peakDescriptors() <= m_limits.descriptors, "a node went over its descriptors");
        }
        std::printf(
            "%s: %u of %u ordinary requests answered beside the crowd\n", m_case.name, beside, sentBeside);
        for (const std::string& problem : m_problems)
            std::printf("%s FAILED: %s\n", m_case.name, problem.c_str());
        std::fflush(stdout);
        return m_problems.empty();
    }

private:
    static constexpr auto returnTime = 1s;

    static double megabytes(std::size_t bytes) { return static_cast<double>(bytes) / (1 << 20); }

    void check(bool holds, const std::string& problem)
    {
        if (!holds)
            m_problems.push_back(problem);
    }

    void startCrowd(CrowdClient::Behaviour behaviour, std::size_t bytes)
    {
        const std::string address = m_case.isAtMetrics ? m_site.metricsAddress() : m_site.callerAddress();
        const unsigned count = FLAGS_clients ? FLAGS_clients : m_case.clients;
        for (unsigned i = 0; i < count; ++i) {
            m_crowd.push_back(std::make_unique<CrowdClient>(
                m_io, address, std::to_string(m_crowd.size()), behaviour, bytes));
            m_crowd.back()->start();
        }
    }

    void stopCrowd(bool closes)
    {
        for (const auto& client : m_crowd)
            client->stop(closes);
    }

    void stopNodes()
    {
        for (unsigned node = 0; node < m_site.nodeCount(); ++node) {
            check(!m_site.node(node).exitCode(), "a node has ended by itself");
            m_site.node(node).signal(SIGTERM);
        }
        const auto haveEnded = [this] {
            for (unsigned node = 0; node < m_site.nodeCount(); ++node) {
                if (!m_site.node(node).exitCode())
                    return false;
            }
            return true;
        };
        runUntil(haveEnded, hangTime);
        for (unsigned node = 0; node < m_site.nodeCount(); ++node)
            check(m_site.node(node).exitCode() == 0, "a node did not end with 0 after SIGTERM");
    }

    template <typename Condition> void runUntil(Condition condition, Clock::duration limit)
    {
        const auto end = Clock::now() + limit;
        while (Clock::now() < end && !condition()) {
            m_io.restart();
            m_io.run_for(5ms);
        }
    }

    void runFor(Clock::duration time)
    {
        runUntil([] { return false; }, time);
    }

    const Case m_case;
    const NodeLimits m_limits;
    boost::asio::io_context m_io;
    CrowdSite m_site;
    std::vector<std::unique_ptr<CrowdClient>> m_crowd;
    std::vector<std::string> m_problems;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    bool holds = true;
    bool found = false;
    for (const Case& each : allCases()) {
        if (!FLAGS_only.empty() && FLAGS_only != each.name)
            continue;
        found = true;
        holds = Run(each).run() && holds;
    }
    if (!found)
        std::fprintf(stderr, "No case is named %s.\n", FLAGS_only.c_str());
    return found ? (holds ? 0 : 1) : 2;
}
