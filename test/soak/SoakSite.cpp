// The VMs of a soak.
#include "SoakSite.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Ebonystack::Soak {
namespace {

constexpr int callerPort = 21000;
constexpr int peerPort = 21001;
constexpr int readyPort = 21002;
constexpr int upstreamPort = 21003;
constexpr int storePort = 21004;
constexpr int memoryMegabytes = 260;
constexpr std::uint64_t maxBodyBytes = 64 << 20;

/// Of a process, in its whole life; 0 if it has ended.
int peakMegabytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    constexpr std::string_view name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return static_cast<int>(std::stol(line.substr(name.size())) / 1024);
    }
    return 0;
}

std::string vmAddress(std::uint64_t network, std::uint64_t vm)
{
    return "127.0." + std::to_string(network) + '.' + std::to_string(11 + vm);
}

} // namespace

SoakSite::SoakSite(boost::asio::io_context& io, SoakSiteSettings settings)
    : m_settings(std::move(settings))
    , m_log(m_settings.folder / "run.log")
    , m_drainCheck(m_settings.vms, m_log)
    , m_answerCheck(m_settings.vms, m_log)
    , m_store(io, storeAddresses(), m_settings.heartbeatEvents)
    , m_nodes(m_settings.vms)
    , m_usedTooMuch(m_settings.vms, false)
{
    putConfig();
    for (std::uint64_t vm = 0; vm < m_settings.vms; ++vm) {
        m_upstreams.push_back(std::make_unique<FakeUpstream>(
            UpstreamSurroundings { io, m_store, m_drainCheck, m_answerCheck, m_observations, m_log }, vm,
            address(vm, upstreamPort), m_settings.seed + vm));
        m_upstreams[vm]->start();
        writeSettings(vm);
        startNode(vm);
    }
}

std::string SoakSite::address(std::uint64_t vm, int port) const
{
    return vmAddress(m_settings.network, vm) + ':' + std::to_string(port);
}

std::string SoakSite::callerAddress(std::uint64_t vm) const { return address(vm, callerPort); }

std::vector<std::string> SoakSite::storeAddresses() const
{
    std::vector<std::string> addresses;
    for (std::uint64_t vm = 0; vm < m_settings.vms; ++vm)
        addresses.push_back(address(vm, storePort));
    return addresses;
}

void SoakSite::putConfig()
{
    ++m_version;
    writeConfig();
}

void SoakSite::writeConfig()
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
                    { "bulk", route("non_idempotent", bulkPath, "8000ms", 1) },
                    { "unframed", route("non_idempotent", unframedPath, "5000ms", 1) },
                    { "long", route("non_idempotent", longPath, "5000ms", 1) },
                    { "newest", route("idempotent", newestPath().c_str(), "1000ms", 2) } } },
            { "limits", { { "max_body_bytes", maxBodyBytes } } },
            { "tenants", { { "team", { { "api_keys", { "k" } } } } } } }
            .dump());
}

std::filesystem::path SoakSite::settingsFile(std::uint64_t vm) const
{
    return m_settings.folder / ("node-" + std::to_string(vm) + ".json");
}

void SoakSite::writeSettings(std::uint64_t vm)
{
    std::ofstream(settingsFile(vm)) << nlohmann::json { { "vm", vmAddress(m_settings.network, vm) },
        { "dataCentre", "a" }, { "service", "registry" }, { "upstreamAddress", address(vm, upstreamPort) },
        { "callerAddress", address(vm, callerPort) }, { "readinessAddress", address(vm, readyPort) },
        { "storeAddress", address(vm, storePort) }, { "peerPort", peerPort },
        { "memoryMegabytes", memoryMegabytes }, { "grace", std::to_string(graceTime.count()) + "ms" },
        { "drain", std::to_string(drainTime.count()) + "ms" } };
}

void SoakSite::startNode(std::uint64_t vm)
{
    const auto log
        = m_settings.folder / ("node-" + std::to_string(vm) + "-" + std::to_string(++m_nodeStarts) + ".log");
    m_nodes[vm] = std::make_unique<ChildProcess>(
        std::vector<std::string> { m_settings.sidecar, "--config", settingsFile(vm).string() }, log.string());
    m_log.add("node " + std::to_string(vm) + " starts");
    Disturbances& disturbances = m_drainCheck.vm(vm);
    disturbances.end(Disturbance::Down, Clock::now());
    disturbances.end(Disturbance::Paused, Clock::now());
    disturbances.happened(Clock::now());
    m_upstreams[vm]->setNodeDisturbed(false);
    m_answerCheck.onStart(vm);
    m_usedTooMuch[vm] = false;
}

void SoakSite::checkMemory(std::uint64_t vm)
{
    const int megabytes = peakMegabytes(m_nodes[vm]->pid());
    if (megabytes <= memoryMegabytes || m_usedTooMuch[vm])
        return;
    m_usedTooMuch[vm] = true;
    m_observations.violations.push_back("node " + std::to_string(vm) + " has used "
        + std::to_string(megabytes) + " MB of memory, " + std::to_string(memoryMegabytes) + " are its limit");
}

void SoakSite::signalNode(std::uint64_t vm, int number)
{
    m_log.add("node " + std::to_string(vm) + " gets signal " + std::to_string(number));
    Disturbances& disturbances = m_drainCheck.vm(vm);
    if (number == SIGTERM)
        m_answerCheck.onStop(vm);
    else if (number == SIGKILL)
        m_answerCheck.unplanned(vm).begin(Disturbance::Down);
    if (number == SIGSTOP) {
        disturbances.begin(Disturbance::Paused);
        m_answerCheck.unplanned(vm).begin(Disturbance::Paused);
    } else if (number == SIGCONT) {
        disturbances.end(Disturbance::Paused, Clock::now());
        m_answerCheck.unplanned(vm).end(Disturbance::Paused, Clock::now());
    }
    if (number == SIGTERM || number == SIGKILL)
        disturbances.begin(Disturbance::Down);
    if (number != SIGHUP)
        m_upstreams[vm]->setNodeDisturbed(number != SIGCONT || disturbances.has(Disturbance::Down));
    m_nodes[vm]->signal(number);
}

} // namespace Ebonystack::Soak
