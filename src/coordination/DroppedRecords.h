// The requests whose records an upstream's node has dropped with time. An entry node may ask for one later
// than that: the clock of a VM that stands still can stand still too. A request without a record has not run
// only if it can't have been one of these.
#pragma once

#include "state/HopOrigin.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Ebonystack {

/// Not thread-safe. Remembers a limited number of entry nodes' processes; a request of one that is forgotten
/// counts as possibly dropped.
class DroppedRecords {
public:
    /// Some restarts of each VM of a large fleet.
    static constexpr std::size_t maxProcesses = 4096;

    void add(const HopOrigin&, std::uint64_t number);
    /// Whether a request without a record may have had one. A process numbers its requests in order.
    bool mayInclude(const HopOrigin&, std::uint64_t number) const;
    std::size_t size() const { return m_processes.size(); }

private:
    struct Process {
        std::uint64_t highest { 0 }; // at least as high as each of its requests that was dropped
        std::uint64_t lastAdded { 0 }; // grows with each addition
    };

    void forgetOldest();

    std::map<HopOrigin, Process> m_processes;
    std::uint64_t m_additions { 0 };
    std::uint64_t m_highestForgotten { 0 }; // of all processes that are forgotten
};

} // namespace Ebonystack
