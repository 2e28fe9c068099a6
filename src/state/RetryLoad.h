// The requests for an upstream, how many of them it rejects, and how many repeats the operator's limit
// leaves, as the upstream's node reports it.
#pragma once

#include <compare>

namespace Ebonystack {

struct RetryLoad {
    double requests { 0 }; ///< per second, that have not reached an upstream before
    double arrivals { 0 }; ///< per second at the upstream, repeats included
    double rejections { 0 }; ///< per second, arrivals that the upstream rejected without running them
    double repeatsLeft { 0 }; ///< by the operator's limit

    auto operator<=>(const RetryLoad&) const = default;
};

} // namespace Ebonystack
