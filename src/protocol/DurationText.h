// Durations as text: a number and a unit, as in "1500ms" or "2.5s".
#pragma once

#include "state/Time.h"

#include <optional>
#include <string_view>

namespace Ebonystack {

/// Parses a number, optionally with a fraction, followed by "ms" or "s". Returns nothing if the text has
/// another form, or the duration is negative or longer than 366 days.
std::optional<Duration> parseDuration(std::string_view text);

/// The hint in problems and errors about an invalid duration.
constexpr auto durationFormatHint = "must be a number with a unit, as in \"1500ms\" or \"2.5s\"";

} // namespace Ebonystack
