// The query of a request target.
#pragma once

#include "protocol/HttpMessage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Ebonystack {

/// The value of a query parameter as text; empty when absent.
std::string_view queryText(std::string_view target, std::string_view name);

/// The value of a query parameter as a whole number; zero when absent or not a number.
std::uint64_t queryNumber(std::string_view target, std::string_view name);

} // namespace Ebonystack
