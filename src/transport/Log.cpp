// Formats JSON lines and passes them through Easylogging++ to a LogBuffer.
#include "transport/Log.h"

#include "transport/LogBuffer.h"
#include "transport/SystemClock.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <easylogging++.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace Ebonystack::Log {
namespace {

constexpr auto levelNames = std::to_array<std::pair<Level, std::string_view>>({ { Level::Debug, "debug" },
    { Level::Info, "info" }, { Level::Warning, "warning" }, { Level::Error, "error" } });

std::atomic<Level> currentLevel { Level::Info };

/// Buffer for a slow reader: some seconds of log lines at the maximum rate.
constexpr std::size_t maxBufferedBytes = 256 << 10;

/// Guarded by `bufferMutex`.
LogBuffer& buffer()
{
    static LogBuffer instance(STDOUT_FILENO, maxBufferedBytes);
    return instance;
}

std::mutex bufferMutex;

std::string makeLine(Level level, std::string_view event, const nlohmann::json& fields)
{
    nlohmann::json line { { "time", wallNow() }, { "level", describe(level) }, { "event", event } };
    if (fields.is_object())
        line.update(fields);
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Adds the library's messages to the buffer.
class BufferedDispatch : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const std::scoped_lock lock(bufferMutex);
        m_droppedLines += buffer().takeDroppedCount();
        const bool isReported = m_droppedLines > 0
            && buffer().add(
                makeLine(Level::Warning, "log reader too slow", { { "linesLeftOut", m_droppedLines } }));
        if (isReported)
            m_droppedLines = 0;
        buffer().add(data->logMessage()->message());
        buffer().flush();
    }

private:
    std::uint64_t m_droppedLines { 0 }; // not reported yet
};

/// Makes the library add nothing to the lines, which are formatted here, and write nothing itself.
bool configureLibrary()
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(configurations);
    return el::Helpers::installLogDispatchCallback<BufferedDispatch>("buffered");
}

} // namespace

std::optional<Level> parseLevel(std::string_view text)
{
    const auto found = std::ranges::find(levelNames, text, &std::pair<Level, std::string_view>::second);
    if (found == levelNames.end())
        return std::nullopt;
    return found->first;
}

std::string_view describe(Level level)
{
    return std::ranges::find(levelNames, level, &std::pair<Level, std::string_view>::first)->second;
}

void setLevel(Level level) { currentLevel = level; }

Level level() { return currentLevel; }

bool enabled(Level level) { return level >= currentLevel.load(std::memory_order_relaxed); }

void write(Level level, std::string_view event, const nlohmann::json& fields)
{
    if (!enabled(level))
        return;
    static const bool configured = configureLibrary();
    static_cast<void>(configured);
    LOG(INFO) << makeLine(level, event, fields);
}

void flush()
{
    const std::scoped_lock lock(bufferMutex);
    buffer().flush();
}

} // namespace Ebonystack::Log
