// Decodes the deadline field of a request.
#include "transport/CallerDeadline.h"

#include <charconv>

namespace Ebonystack {
namespace {

constexpr Duration maxDeadline = std::chrono::hours(1);

} // namespace

std::optional<Duration> readCallerDeadline(const HttpFields& fields, const std::string& name)
{
    const auto value = fields.find(name);
    std::uint64_t milliseconds = 0;
    if (!value)
        return std::nullopt;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), milliseconds);
    if (error != std::errc() || milliseconds > static_cast<std::uint64_t>(toMilliseconds(maxDeadline)))
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

} // namespace Ebonystack
