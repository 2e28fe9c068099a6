// The refusal of a request: its result code, whether the request ran, and when the caller should retry.
#pragma once

#include "protocol/ResultCode.h"
#include "state/Time.h"

#include <compare>
#include <string>

namespace Ebonystack {

struct Refusal {
    ResultCode code { ResultCode::InternalError };
    Ran ran { Ran::No };
    Duration retryAfter { 0 }; ///< zero: the response has no Retry-After header
    std::string explanation; ///< the rule and the values that it compared, for `ebonyctl explain`

    auto operator<=>(const Refusal&) const = default;
};

/// Makes the refusal of a request that certainly did not run.
inline Refusal notRunRefusal(
    ResultCode code, std::string explanation = {}, Duration retryAfter = Duration::zero())
{
    return Refusal { code, Ran::No, retryAfter, std::move(explanation) };
}

} // namespace Ebonystack
