// The command that prints result codes.
#pragma once

#include "ebonyctl/Command.h"

namespace Ebonystack {

ExitCode runCodes(CommandContext&);

} // namespace Ebonystack
