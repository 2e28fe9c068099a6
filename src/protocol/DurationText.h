// Durations as text: a number and its unit, as in "1500ms" or "2.5s".
#pragma once

#include "state/Time.h"

#include <optional>
#include <string_view>

namespace Ebonystack {

/// Reads a number, with a fraction if there is one, followed by "ms" or "s"; nothing when it is not that, is
/// negative, or is longer than a year.
std::optional<Duration> parseDuration(std::string_view text);

/// What to write instead, for problems.
constexpr auto durationFormatHint = "must be a number with its unit, as in \"1500ms\" or \"2.5s\"";

} // namespace Ebonystack
