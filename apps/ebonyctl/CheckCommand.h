// The command that checks settings and published configurations before they are used.
#pragma once

#include "ebonyctl/Command.h"

namespace Ebonystack {

ExitCode runCheck(CommandContext&);

} // namespace Ebonystack
