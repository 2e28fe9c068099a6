// Compares what would be held with the limit of each use.
#include "coordination/MemoryAdmission.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// Shares of the limit that may be held once a long message is received, by use. Requests of callers leave
/// room for one of another node that is as long as theirs, so that nodes full of their callers' requests
/// still run each other's.
constexpr std::array longMessageShares { 0.5, 0.9, 1.0 };
/// Likewise for short messages: some room stays for responses.
constexpr std::array shortMessageShares { 0.95, 0.95, 1.0 };

} // namespace

MemoryAdmission::MemoryAdmission(std::size_t limitBytes)
    : m_budget(limitBytes)
{
}

std::size_t MemoryAdmission::limitFor(MemoryUse use, std::size_t bytes) const
{
    const auto& shares = bytes < minLongMessageBytes ? shortMessageShares : longMessageShares;
    return static_cast<std::size_t>(static_cast<double>(limit()) * shares[static_cast<std::size_t>(use)]);
}

std::size_t MemoryAdmission::lacking(MemoryUse use, std::size_t bytes) const
{
    const std::size_t needed = m_budget.heldBytes() + bytes;
    return needed - std::min(needed, limitFor(use, bytes));
}

bool MemoryAdmission::admits(MemoryUse use, std::size_t bytes)
{
    if (!canEverAdmit(use, bytes))
        return false;
    for (const auto& [from, reclaim] : m_reclaims) {
        if (const std::size_t toFree = lacking(use, bytes); toFree > 0 && use >= from)
            reclaim(toFree);
    }
    return lacking(use, bytes) == 0;
}

bool MemoryAdmission::canEverAdmit(MemoryUse use, std::size_t bytes) const
{
    return bytes <= limitFor(use, bytes);
}

std::string_view describe(MemoryUse use)
{
    constexpr auto names = std::to_array<std::string_view>({ "caller request", "peer request", "response" });
    return names[static_cast<std::size_t>(use)];
}

} // namespace Ebonystack
