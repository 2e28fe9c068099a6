// Sampling of requests, and limits on lines per second.
#include "transport/DecisionLog.h"

#include "transport/Log.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// One request in 128 is logged completely.
constexpr std::uint64_t requestsPerSample = 128;
/// Limits for each LineBudget, in the order of its values. The state limit is higher: state changes are
/// frequent only while a fleet starts, and each is needed to know the state in which the process made its
/// decisions.
constexpr std::array<std::uint32_t, 3> linesPerSecond { 20, 20, 200 };

bool isSampled(std::string_view id) { return XXH3_64bits(id.data(), id.size()) % requestsPerSample == 0; }

void write(Log::Level level, std::string_view event, std::string_view id, const DecisionLog::Fields& fields)
{
    nlohmann::json line = fields();
    if (!id.empty())
        line["request"] = id;
    Log::write(level, event, line);
}

} // namespace

void DecisionLog::request(std::string_view event, std::string_view id, Instant now, const Fields& fields)
{
    if (isSampled(id) && mayWrite(LineBudget::Requests, now))
        write(Log::Level::Info, event, id, fields);
}

void DecisionLog::failure(std::string_view event, std::string_view id, Instant now, const Fields& fields)
{
    if (mayWrite(LineBudget::Failures, now))
        write(Log::Level::Warning, event, id, fields);
}

void DecisionLog::state(std::string_view event, Instant now, const Fields& fields)
{
    if (mayWrite(LineBudget::State, now))
        write(Log::Level::Info, event, {}, fields);
}

bool DecisionLog::mayWrite(LineBudget budget, Instant now)
{
    if (!Log::enabled(Log::Level::Info))
        return false;
    if (now - m_secondStart >= 1s) {
        m_secondStart = now;
        m_linesWritten = {};
        if (m_droppedLines > 0)
            Log::write(Log::Level::Info, "lines left out", { { "count", m_droppedLines } });
        m_droppedLines = 0;
    }
    std::uint32_t& written = m_linesWritten[static_cast<std::size_t>(budget)];
    if (written >= linesPerSecond[static_cast<std::size_t>(budget)]) {
        ++m_droppedLines;
        return false;
    }
    ++written;
    return true;
}

} // namespace Ebonystack
