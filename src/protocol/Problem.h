// One fault in a document or settings file: a result code, the place as a JSON pointer, and a hint for the
// fix.
#pragma once

#include "protocol/ResultCode.h"

#include <compare>
#include <string>
#include <vector>

namespace Ebonystack {

struct Problem {
    ResultCode code { ResultCode::JsonInvalid };
    std::string path; ///< JSON pointer, as in "/teams/3/plan"; empty for the whole document
    std::string hint;

    auto operator<=>(const Problem&) const = default;
};

using Problems = std::vector<Problem>;

/// "805 FieldOutOfRange at /plans/0/burst: must be from 1 to 1000000"
std::string toString(const Problem&);

} // namespace Ebonystack
