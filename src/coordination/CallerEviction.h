// Chooses which connections of callers are closed, and which requests are given up, when descriptors or
// memory run out. A caller that makes progress comes before one that has stopped, so that callers who hold
// what they have without using it don't keep others out.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Ebonystack {

/// What a connection is used for.
enum class CallerPhase : std::uint8_t {
    Closing, ///< the caller has its last response
    Idle,
    Receiving, ///< a request
    Serving, ///< a request that is complete, or that waits for memory
    Sending, ///< a response
};

struct CallerActivity {
    CallerPhase phase { CallerPhase::Idle };
    double ageSeconds { 0 }; ///< of the phase
    std::size_t moved { 0 }; ///< bytes received or sent in the phase
    std::size_t held { 0 }; ///< bytes that would be freed

    auto operator<=>(const CallerActivity&) const = default;
};

/// The position of the connection to close for a new one; nothing if each of them is in use: a caller gets
/// some time before it counts as slow.
std::optional<std::size_t> connectionToClose(const std::vector<CallerActivity>&);

/// The positions of the slowest callers in this phase that together hold `bytes`, or of all that are slow.
std::vector<std::size_t> slowestOf(const std::vector<CallerActivity>&, CallerPhase, std::size_t bytes);

/// The bytes that all slow callers in this phase hold.
std::size_t heldBySlow(const std::vector<CallerActivity>&, CallerPhase);

} // namespace Ebonystack
