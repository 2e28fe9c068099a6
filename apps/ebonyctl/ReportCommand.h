// The command that writes an HTML page with plots of a run from its logs.
#pragma once

#include "ebonyctl/Command.h"

namespace Ebonystack {

ExitCode runReport(CommandContext&);

} // namespace Ebonystack
