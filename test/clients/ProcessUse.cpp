// Reads /proc/PID/status, /proc/PID/fd and /proc/net/tcp.
#include "ProcessUse.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace Ebonystack::Clients {
namespace {

constexpr auto samplePeriod = std::chrono::milliseconds(20);
constexpr int hexadecimal = 16;
constexpr int listeningState = 0x0a; // its queue counts connections, not bytes

std::size_t residentBytes(const std::string& folder)
{
    std::ifstream status(folder + "/status");
    constexpr std::string_view name = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::stoull(line.substr(name.size())) << 10;
    }
    return 0;
}

/// One connection of /proc/net/tcp.
struct Connection {
    std::uint32_t localHost { 0 }; // as the system writes it
    int state { 0 };
    std::size_t unread { 0 };
    std::uint64_t inode { 0 }; // 0: not accepted yet
};

std::vector<Connection> readConnections()
{
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line); // the names of the columns
    std::vector<Connection> connections;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout;
        Connection connection;
        words >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout
            >> connection.inode;
        connection.localHost = static_cast<std::uint32_t>(std::stoul(local, nullptr, hexadecimal));
        connection.state = std::stoi(state, nullptr, hexadecimal);
        connection.unread = std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        connections.push_back(connection);
    }
    return connections;
}

} // namespace

ProcessUse readProcessUse(pid_t process, const std::string& host)
{
    const std::string folder = "/proc/" + std::to_string(process);
    ProcessUse use;
    use.resident = residentBytes(folder);
    std::set<std::uint64_t> sockets;
    std::error_code ended;
    for (auto file = std::filesystem::directory_iterator(folder + "/fd", ended);
         !ended && file != std::filesystem::directory_iterator(); file.increment(ended)) {
        ++use.descriptors;
        std::error_code closed;
        const std::string target = std::filesystem::read_symlink(file->path(), closed).string();
        if (constexpr std::string_view prefix = "socket:["; target.starts_with(prefix))
            sockets.insert(std::stoull(target.substr(prefix.size())));
    }
    const std::uint32_t address = inet_addr(host.c_str());
    for (const Connection& connection : readConnections()) {
        const bool isAccepted = sockets.contains(connection.inode);
        const bool waitsForAccept = connection.inode == 0 && connection.localHost == address;
        if ((isAccepted || waitsForAccept) && connection.state != listeningState)
            use.unread += connection.unread;
    }
    return use;
}

UseSampler::UseSampler(pid_t process, std::string host)
    : m_process(process)
    , m_host(std::move(host))
    , m_thread([this] { run(); })
{
}

UseSampler::~UseSampler()
{
    m_stops = true;
    m_thread.join();
}

void UseSampler::run()
{
    while (!m_stops) {
        const ProcessUse use = readProcessUse(m_process, m_host);
        m_peakMemory = std::max(m_peakMemory.load(), use.memory());
        m_peakUnread = std::max(m_peakUnread.load(), use.unread);
        m_peakDescriptors = std::max(m_peakDescriptors.load(), use.descriptors);
        std::this_thread::sleep_for(samplePeriod);
    }
}

} // namespace Ebonystack::Clients
