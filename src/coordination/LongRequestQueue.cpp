// Keeps the requests in the order in which they are admitted.
#include "coordination/LongRequestQueue.h"

#include <algorithm>
#include <optional>

namespace Ebonystack {
namespace {

/// What callers send while they wait stays in the buffers of the system, which are counted as memory of the
/// node.
constexpr std::size_t maxWaiting = 32;

} // namespace

std::uint64_t LongRequestQueue::add(const LongRequest& request)
{
    m_requests.emplace(Order { -request.worth, request.bytes, ++m_arrivals }, request);
    if (m_requests.size() <= maxWaiting)
        return 0;
    const auto last = std::prev(m_requests.end());
    const std::uint64_t refused = last->second.id;
    m_requests.erase(last);
    return refused;
}

void LongRequestQueue::remove(std::uint64_t id)
{
    std::erase_if(m_requests, [id](const auto& item) { return item.second.id == id; });
}

std::vector<std::uint64_t> LongRequestQueue::admit(const std::function<bool(const LongRequest&)>& admits)
{
    std::vector<std::uint64_t> admitted;
    std::optional<double> blockedWorth;
    std::erase_if(m_requests, [&](const auto& item) {
        if (blockedWorth && item.second.worth < *blockedWorth)
            return false;
        if (!admits(item.second)) {
            blockedWorth = item.second.worth;
            return false;
        }
        admitted.push_back(item.second.id);
        return true;
    });
    return admitted;
}

std::vector<std::uint64_t> LongRequestQueue::expire(Instant now)
{
    std::vector<std::uint64_t> expired;
    std::erase_if(m_requests, [&](const auto& item) {
        if (now < item.second.until)
            return false;
        expired.push_back(item.second.id);
        return true;
    });
    return expired;
}

} // namespace Ebonystack
