// Parses durations.
#include "protocol/DurationText.h"

#include <charconv>

namespace Ebonystack {
namespace {

constexpr double maxSeconds = 366.0 * 24 * 3600;

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc())
        return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (unit != "ms" && unit != "s")
        return std::nullopt;
    const double seconds = unit == "ms" ? number / 1000 : number;
    if (!(seconds >= 0) || seconds > maxSeconds)
        return std::nullopt;
    return fromSeconds(seconds);
}

} // namespace Ebonystack
