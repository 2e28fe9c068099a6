// Sampling and the bound on lines.
#include "transport/DecisionLog.h"

#include "transport/Log.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// One request in this many is logged whole.
constexpr std::uint64_t requestsPerSample = 128;
/// Bound on lines: about 10 KB a second.
constexpr std::uint32_t linesPerSecond = 40;

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
    if (isSampled(id) && mayWrite(now))
        write(Log::Level::Info, event, id, fields);
}

void DecisionLog::failure(std::string_view event, std::string_view id, Instant now, const Fields& fields)
{
    if (mayWrite(now))
        write(Log::Level::Warning, event, id, fields);
}

void DecisionLog::state(std::string_view event, Instant now, const Fields& fields)
{
    if (mayWrite(now))
        write(Log::Level::Info, event, {}, fields);
}

bool DecisionLog::mayWrite(Instant now)
{
    if (!Log::enabled(Log::Level::Info))
        return false;
    if (now - m_second >= 1s) {
        m_second = now;
        m_written = 0;
        if (m_leftOut > 0)
            Log::write(Log::Level::Info, "lines left out", { { "count", m_leftOut } });
        m_leftOut = 0;
    }
    if (m_written >= linesPerSecond) {
        ++m_leftOut;
        return false;
    }
    ++m_written;
    return true;
}

} // namespace Ebonystack
