// The log of what a run of the soak did, kept beside the logs of its nodes.
#pragma once

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

namespace Ebonystack::Soak {

/// Each line has the seconds since the start and the time of the nodes' logs, Unix milliseconds.
class RunLog {
public:
    explicit RunLog(const std::filesystem::path& file)
        : m_file(file)
    {
    }

    void add(const std::string& text)
    {
        using namespace std::chrono;
        m_file << duration<double>(seconds()).count() << ' '
               << duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count() << ' ' << text
               << std::endl;
    }
    std::chrono::duration<double> seconds() const { return std::chrono::steady_clock::now() - m_startedAt; }

private:
    const std::chrono::steady_clock::time_point m_startedAt { std::chrono::steady_clock::now() };
    std::ofstream m_file;
};

} // namespace Ebonystack::Soak
