// The command that prints the log lines of one request on all nodes.
#pragma once

#include "ebonyctl/Command.h"

namespace Ebonystack {

ExitCode runExplain(CommandContext&);

} // namespace Ebonystack
