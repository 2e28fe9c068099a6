// What a process takes of its machine: resident memory, bytes that its system has received for it and that it
// has not read, and descriptors. Source: /proc.
#pragma once

#include <atomic>
#include <compare>
#include <cstddef>
#include <string>
#include <sys/types.h>
#include <thread>

namespace Ebonystack::Clients {

struct ProcessUse {
    std::size_t resident { 0 }; ///< bytes
    std::size_t unread { 0 }; ///< bytes
    std::size_t descriptors { 0 };

    std::size_t memory() const { return resident + unread; }

    auto operator<=>(const ProcessUse&) const = default;
};

/// Of a process that accepts connections at `host`, an IPv4 address of its own. All zero once it has ended.
ProcessUse readProcessUse(pid_t, const std::string& host);

/// Samples a process on a thread of its own, and keeps the peaks.
class UseSampler {
public:
    UseSampler(pid_t, std::string host);
    ~UseSampler();
    UseSampler(const UseSampler&) = delete;
    UseSampler& operator=(const UseSampler&) = delete;

    std::size_t peakMemory() const { return m_peakMemory; } ///< resident and unread bytes at the same time
    std::size_t peakUnread() const { return m_peakUnread; }
    std::size_t peakDescriptors() const { return m_peakDescriptors; }

private:
    void run();

    const pid_t m_process;
    const std::string m_host;
    std::atomic<bool> m_stops { false };
    std::atomic<std::size_t> m_peakMemory { 0 };
    std::atomic<std::size_t> m_peakUnread { 0 };
    std::atomic<std::size_t> m_peakDescriptors { 0 };
    std::thread m_thread;
};

} // namespace Ebonystack::Clients
