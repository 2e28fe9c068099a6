// Decides which messages a node receives, so that all that it holds for them stays within one limit. Work
// that others have begun comes first: a response before a request of another node, and that before a request
// of a caller. Short messages go on while long ones wait or are refused.
#pragma once

#include "coordination/MemoryBudget.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace Ebonystack {

/// What memory is taken for, the first to be refused first.
enum class MemoryUse : std::uint8_t { CallerRequest, PeerRequest, Response };

std::string_view describe(MemoryUse);

/// Messages of this length and above are long.
constexpr std::size_t minLongMessageBytes = std::size_t { 256 } << 10;

/// Not thread-safe.
class MemoryAdmission {
public:
    using Reclaim = std::function<void(std::size_t bytes)>;

    explicit MemoryAdmission(std::size_t limitBytes);

    /// Counts what is held. Each buffer has one reservation, however many parts of the node refer to it.
    MemoryBudget& budget() { return m_budget; }
    const MemoryBudget& budget() const { return m_budget; }
    std::size_t limit() const { return m_budget.limit(); }

    /// Whether there is room for `bytes` more. If not, first asks for what can be given up.
    bool admits(MemoryUse, std::size_t bytes);
    /// How many bytes have to be freed before there is room for `bytes` more.
    std::size_t lacking(MemoryUse, std::size_t bytes) const;
    /// Whether there is room for `bytes` when nothing else is held.
    bool canEverAdmit(MemoryUse, std::size_t bytes) const;
    /// Called with the number of bytes that are lacking for a message of this use or a later one, to free
    /// what is worth less. Those that were added first are called first.
    void addReclaim(MemoryUse from, Reclaim reclaim) { m_reclaims.emplace_back(from, std::move(reclaim)); }

    void recordRefusal(MemoryUse use) { ++m_refusals[static_cast<std::size_t>(use)]; }
    std::uint64_t refusals(MemoryUse use) const { return m_refusals[static_cast<std::size_t>(use)]; }

private:
    /// How much may be held once a message of this length is.
    std::size_t limitFor(MemoryUse, std::size_t bytes) const;

    MemoryBudget m_budget;
    std::vector<std::pair<MemoryUse, Reclaim>> m_reclaims;
    std::array<std::uint64_t, 3> m_refusals {};
};

} // namespace Ebonystack
