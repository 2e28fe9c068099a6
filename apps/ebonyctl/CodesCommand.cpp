// Prints the table of result codes.
#include "ebonyctl/CodesCommand.h"

#include "protocol/ResultCode.h"

#include <iostream>

namespace Ebonystack {

ExitCode runCodes(CommandContext& context)
{
    bool found = false;
    for (const ResultCodeInfo& info : resultCodeTable()) {
        const std::string number = std::to_string(static_cast<int>(info.code));
        if (!context.arguments.empty() && context.arguments.front() != number)
            continue;
        found = true;
        context.out << number << ' ' << info.name << ", HTTP status " << info.httpStatus << "\n    "
                    << info.meaning << '\n';
    }
    if (!found)
        context.error << "No result code has this number; \"ebonyctl codes\" lists all codes.\n";
    return found ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace Ebonystack
