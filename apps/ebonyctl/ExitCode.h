// The exit codes of ebonyctl.
#pragma once

namespace Ebonystack {

enum class ExitCode : int {
    Success = 0,
    ProblemsFound = 1, ///< the file has problems, or nothing was found in the logs
    Usage = 2, ///< the command line is wrong
};

} // namespace Ebonystack
