// Formats problems as text.
#include "protocol/Problem.h"

namespace Ebonystack {

std::string toString(const Problem& problem)
{
    const ResultCodeInfo& info = describe(problem.code);
    std::string text = std::to_string(static_cast<int>(problem.code));
    text += ' ';
    text += info.name;
    text += " at ";
    text += problem.path.empty() ? "/" : problem.path;
    text += ": ";
    text += problem.hint;
    return text;
}

} // namespace Ebonystack
