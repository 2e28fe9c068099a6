// The requests that one connection to an upstream has carried. A late response names only the id of its
// request, which all sendings of that request share: it can be told from the response to a later sending only
// if no connection carries the same id twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Ebonystack {

/// Not thread-safe.
class CarriedRequests {
public:
    /// Ids that are remembered, in 8 bytes each.
    static constexpr std::size_t maxCount = 4096;

    void add(std::string_view requestId);
    /// Whether a request with this id may have been added. Hashes of two ids rarely collide.
    bool mayContain(std::string_view requestId) const;
    /// Whether no further request can be remembered, so that the connection must not carry any.
    bool isFull() const { return m_hashes.size() >= maxCount; }

private:
    std::vector<std::uint64_t> m_hashes; // of the ids, at most maxCount
};

} // namespace Ebonystack
