// Forgets the process whose records were dropped longest ago: it has most likely ended.
#include "coordination/DroppedRecords.h"

#include <algorithm>

namespace Ebonystack {

void DroppedRecords::add(const HopOrigin& origin, std::uint64_t number)
{
    const auto [found, isNew] = m_processes.try_emplace(origin, Process { m_highestForgotten, 0 });
    Process& process = found->second;
    process.highest = std::max(process.highest, number);
    process.lastAdded = ++m_additions;
    if (m_processes.size() > maxProcesses)
        forgetOldest();
}

bool DroppedRecords::mayInclude(const HopOrigin& origin, std::uint64_t number) const
{
    const auto found = m_processes.find(origin);
    return number <= (found == m_processes.end() ? m_highestForgotten : found->second.highest);
}

void DroppedRecords::forgetOldest()
{
    const auto oldest
        = std::ranges::min_element(m_processes, {}, [](const auto& item) { return item.second.lastAdded; });
    m_highestForgotten = std::max(m_highestForgotten, oldest->second.highest);
    m_processes.erase(oldest);
}

} // namespace Ebonystack
