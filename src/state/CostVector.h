// What one request costs at every service of its call tree.
#pragma once

#include "state/Names.h"

#include <map>

namespace Ebonystack {

/// Slot seconds that one request, with all its nested calls, needs at each service.
using CostVector = std::map<ServiceName, double>;

} // namespace Ebonystack
