// A request that is not delivered: the numbered reason, whether it ran, and when to try again.
#pragma once

#include "protocol/ResultCode.h"
#include "state/Time.h"

#include <compare>
#include <string>

namespace Ebonystack {

struct Refusal {
    ResultCode code { ResultCode::InternalError };
    Ran ran { Ran::No };
    Duration retryAfter { 0 }; ///< zero: no advice
    std::string explanation; ///< the rule and the figures it compared, for `ebonyctl explain`

    auto operator<=>(const Refusal&) const = default;
};

/// A refusal of a request that certainly did not run.
inline Refusal notRunRefusal(
    ResultCode code, std::string explanation = {}, Duration retryAfter = Duration::zero())
{
    return Refusal { code, Ran::No, retryAfter, std::move(explanation) };
}

} // namespace Ebonystack
