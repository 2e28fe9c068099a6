// The VMs of a soak, each with a real sidecar and a fake upstream, and their store.
#pragma once

#include "FakeUpstream.h"
#include "process/ChildProcess.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace Ebonystack::Soak {

struct SoakSiteSettings {
    std::uint64_t seed { 1 };
    std::uint64_t vms { 4 };
    std::uint64_t network { 0 }; ///< third number of the loopback addresses
    std::string sidecar; ///< the program
    std::filesystem::path folder; ///< for settings and logs
    HeartbeatEvents heartbeatEvents { HeartbeatEvents::Each };
};

class SoakSite {
public:
    SoakSite(boost::asio::io_context&, SoakSiteSettings);

    std::uint64_t vms() const { return m_settings.vms; }
    std::string callerAddress(std::uint64_t vm) const;
    FakeStore& store() { return m_store; }
    FakeUpstream& upstream(std::uint64_t vm) { return *m_upstreams[vm]; }
    DrainCheck& drainCheck() { return m_drainCheck; }
    AnswerCheck& answerCheck() { return m_answerCheck; }
    UpstreamObservations& observations() { return m_observations; }
    RunLog& log() { return m_log; }
    int nodeStarts() const { return m_nodeStarts; }

    void putConfig();
    /// Writes the newest configuration again.
    void writeConfig();
    /// A path that only the newest configuration has.
    std::string newestPath() const { return "/v" + std::to_string(m_version) + '/'; }

    /// Sends a signal to the node's process, and notes what it disturbs.
    void signalNode(std::uint64_t vm, int number);
    bool hasEnded(std::uint64_t vm) { return m_nodes[vm]->exitCode().has_value(); }
    void startNode(std::uint64_t vm);
    /// Adds a violation if the node's process has used more memory than it may.
    void checkMemory(std::uint64_t vm);

private:
    std::string address(std::uint64_t vm, int port) const;
    std::vector<std::string> storeAddresses() const;
    std::filesystem::path settingsFile(std::uint64_t vm) const;
    /// Once: to shorten a file can hold up the soak's loop for seconds where the disk discards its blocks.
    void writeSettings(std::uint64_t vm);

    const SoakSiteSettings m_settings;
    RunLog m_log;
    UpstreamObservations m_observations;
    DrainCheck m_drainCheck;
    AnswerCheck m_answerCheck;
    FakeStore m_store;
    std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
    std::vector<std::unique_ptr<ChildProcess>> m_nodes;
    std::vector<bool> m_usedTooMuch; // by VM; memory, by its node's process
    unsigned m_version { 0 };
    int m_nodeStarts { 0 };
};

} // namespace Ebonystack::Soak
