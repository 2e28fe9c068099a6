// What one request costs at every service of its call tree.
#pragma once

#include "state/Names.h"

#include <map>

namespace Ebonystack {

/// Seconds for which one request, with all calls below it, holds a slot of each service.
using CostVector = std::map<ServiceName, double>;

} // namespace Ebonystack
