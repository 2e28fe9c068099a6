// A list of hashes, which is searched from end to end: it is short, and its order doesn't matter.
#include "coordination/CarriedRequests.h"

#include "state/Check.h"

#include <algorithm>
#include <functional>

namespace Ebonystack {
namespace {

std::uint64_t hashOf(std::string_view requestId) { return std::hash<std::string_view> {}(requestId); }

} // namespace

void CarriedRequests::add(std::string_view requestId)
{
    internalCheck(!isFull(), "a full connection carries no further request");
    m_hashes.push_back(hashOf(requestId));
}

bool CarriedRequests::mayContain(std::string_view requestId) const
{
    return std::ranges::find(m_hashes, hashOf(requestId)) != m_hashes.end();
}

} // namespace Ebonystack
