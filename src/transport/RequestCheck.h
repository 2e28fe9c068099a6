// Checks of a request's head beyond the HTTP grammar: what two parsers could understand differently is
// refused.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Refusal.h"

#include <optional>

namespace Ebonystack {

/// The refusal of a head that must not be passed on; nothing when it is sound.
std::optional<Refusal> checkRequest(const RequestHead&);

} // namespace Ebonystack
