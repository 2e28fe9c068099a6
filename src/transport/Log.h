// The process's log: one JSON object per line on standard output. The level can be changed at run time.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

namespace Ebonystack::Log {

enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// Parses "debug", "info", "warning" or "error"; nullopt for any other text.
std::optional<Level> parseLevel(std::string_view text);
std::string_view describe(Level);

/// Thread-safe.
void setLevel(Level);
Level level();
bool enabled(Level);

/// Writes one line with the time in milliseconds since the Unix epoch, the level, the event's name and
/// `fields`. Never blocks on a slow reader, see LogBuffer. Thread-safe.
///
///     Log::write(Log::Level::Info, "listening", { { "address", address } });
void write(Level, std::string_view event, const nlohmann::json& fields);

/// Writes buffered lines that a slow reader has not taken. Called once a second. Thread-safe.
void flush();

} // namespace Ebonystack::Log
