// Long requests of callers that wait until there is memory for them: the most worthy first, among those of
// equal worth the shortest, then the earliest.
#pragma once

#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace Ebonystack {

struct LongRequest {
    std::uint64_t id { 0 };
    double worth { 0 }; ///< see DemandClass
    std::size_t bytes { 0 };
    Instant until; ///< then it is refused

    auto operator<=>(const LongRequest&) const = default;
};

/// Not thread-safe.
class LongRequestQueue {
public:
    /// Adds a request. Returns the id of the one that has to be refused for it, which may be its own; 0:
    /// none.
    std::uint64_t add(const LongRequest&);
    void remove(std::uint64_t id);
    /// Removes and returns the requests that `admits` accepts, asked for one after the other. Once it has not
    /// accepted one, only others of the same worth may pass.
    std::vector<std::uint64_t> admit(const std::function<bool(const LongRequest&)>& admits);
    /// Removes and returns the requests whose time has passed.
    std::vector<std::uint64_t> expire(Instant now);
    /// Whether a request of this worth has to wait behind others.
    bool blocks(double worth) const
    {
        return !m_requests.empty() && m_requests.begin()->second.worth >= worth;
    }
    bool empty() const { return m_requests.empty(); }
    /// The length of the request that is admitted next; 0: none.
    std::size_t firstBytes() const { return empty() ? 0 : m_requests.begin()->second.bytes; }

private:
    struct Order {
        double negatedWorth;
        std::size_t bytes;
        std::uint64_t arrival;

        std::partial_ordering operator<=>(const Order&) const = default;
    };

    std::map<Order, LongRequest> m_requests;
    std::uint64_t m_arrivals { 0 };
};

} // namespace Ebonystack
