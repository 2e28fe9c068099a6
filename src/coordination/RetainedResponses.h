// Bounds the responses that a node keeps in case an entry node has not received them: when they take too much
// memory, the longest are dropped first, and the oldest among those of equal length.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Ebonystack {

/// Not thread-safe.
class RetainedResponses {
public:
    explicit RetainedResponses(std::size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    /// `id`s increase. Returns the ids of the responses to drop.
    std::vector<std::uint64_t> add(std::uint64_t id, std::size_t bytes);
    /// Does nothing if the response was dropped.
    void remove(std::uint64_t id);
    /// Returns the ids of the long responses to drop so that `bytes` are freed; none if they have not so
    /// many.
    std::vector<std::uint64_t> reclaim(std::size_t bytes);
    std::size_t heldBytes() const { return m_held; }

private:
    struct Order {
        std::size_t bytes;
        std::uint64_t negatedId; // the oldest last

        auto operator<=>(const Order&) const = default;
    };

    std::vector<std::uint64_t> dropLongest(std::size_t bytes);

    const std::size_t m_limit;
    std::size_t m_held { 0 }; // the sum of m_bytes
    std::size_t m_heldByLong { 0 }; // of those that `reclaim` may return
    std::map<Order, std::uint64_t> m_byLength;
    std::unordered_map<std::uint64_t, std::size_t> m_bytes; // by id
};

} // namespace Ebonystack
