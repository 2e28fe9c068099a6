// Rendezvous (highest random weight) hashing: all processes with the same list of members rank it in the same
// order, and adding or removing a member moves only that member's share of the resources.
#pragma once

#include <cstdint>
#include <string_view>

namespace Ebonystack {

/// The weight of `member` for `resource`; the member with the highest weight ranks first. Callers break ties
/// by the member's name. Source: Thaler and Ravishankar, 1998.
std::uint64_t rendezvousWeight(std::string_view resource, std::string_view member);

} // namespace Ebonystack
