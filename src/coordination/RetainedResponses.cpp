// Keeps the responses in the order of their lengths.
#include "coordination/RetainedResponses.h"

namespace Ebonystack {
namespace {

/// Dropping shorter ones frees little.
constexpr std::size_t minReclaimedBytes = std::size_t { 16 } << 10;

std::size_t reclaimable(std::size_t bytes) { return bytes < minReclaimedBytes ? 0 : bytes; }

} // namespace

std::vector<std::uint64_t> RetainedResponses::add(std::uint64_t id, std::size_t bytes)
{
    m_byLength.emplace(Order { bytes, ~id }, id);
    m_bytes[id] = bytes;
    m_held += bytes;
    m_heldByLong += reclaimable(bytes);
    return m_held > m_limit ? dropLongest(m_held - m_limit) : std::vector<std::uint64_t> {};
}

void RetainedResponses::remove(std::uint64_t id)
{
    const auto found = m_bytes.find(id);
    if (found == m_bytes.end())
        return;
    m_byLength.erase({ found->second, ~id });
    m_held -= found->second;
    m_heldByLong -= reclaimable(found->second);
    m_bytes.erase(found);
}

std::vector<std::uint64_t> RetainedResponses::reclaim(std::size_t bytes)
{
    return bytes <= m_heldByLong ? dropLongest(bytes) : std::vector<std::uint64_t> {};
}

std::vector<std::uint64_t> RetainedResponses::dropLongest(std::size_t bytes)
{
    std::vector<std::uint64_t> dropped;
    std::size_t freed = 0;
    while (freed < bytes && !m_byLength.empty()) {
        const auto [order, id] = *m_byLength.rbegin();
        freed += order.bytes;
        dropped.push_back(id);
        remove(id);
    }
    return dropped;
}

} // namespace Ebonystack
