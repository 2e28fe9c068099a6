// The process of an entry node that sends requests to the nodes of upstreams.
#pragma once

#include "state/Names.h"

#include <compare>
#include <cstdint>

namespace Ebonystack {

/// The process that sent a request.
struct HopOrigin {
    VmId vm;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const HopOrigin&) const = default;
};

} // namespace Ebonystack
