// Reads the era that a response of the platform's store names.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/PlatformAdapter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace Ebonystack {

/// Returns the era, nothing if the response names none, or what is wrong with the value: it must be a whole
/// number that is at most 1,000 above `known`, the era of the node's copy. `known` is nothing before the
/// first listing. A lower era is returned as it is.
tl::expected<std::optional<std::uint64_t>, std::string> decodeStoreEra(
    const HttpFields&, const FieldNames&, std::optional<std::uint64_t> known);

} // namespace Ebonystack
