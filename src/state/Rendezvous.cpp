// Computes rendezvous weights with the XXH3 hash.
#include "state/Rendezvous.h"

#include <xxhash.h>

namespace Ebonystack {

std::uint64_t rendezvousWeight(std::string_view resource, std::string_view member)
{
    const std::uint64_t seed = XXH3_64bits(resource.data(), resource.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

} // namespace Ebonystack
