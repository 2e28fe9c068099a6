// Decodes the deadline field of a request, and bounds it by the route's timeout.
#include "transport/CallerDeadline.h"

#include <charconv>

namespace Ebonystack {
namespace {

constexpr Duration maxDeadline = std::chrono::hours(1);
/// Timeout of requests without a deadline on routes without a timeout.
constexpr Duration maxCallTime = std::chrono::seconds(60);
/// Added to the route's timeout: a response that is slightly late is more useful to the caller than a failure
/// at the timeout, and the operator's limit on late responses is longer.
constexpr Duration timeoutSlack = std::chrono::milliseconds(100);

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

Duration longestCallTime(const RouteConfig* route)
{
    return route && route->timeout > Duration::zero() ? route->timeout + timeoutSlack : maxCallTime;
}

} // namespace Ebonystack
