// Decodes the fields of a response in which an upstream speaks of itself.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/PlatformAdapter.h"
#include "state/UpstreamNotice.h"

#include <string>
#include <tl/expected.hpp>

namespace Ebonystack {

/// Returns the notice without its instance; without the fields, an empty one. The error names the field that
/// can't be read, and its value.
tl::expected<UpstreamNotice, std::string> decodeUpstreamNotice(const HttpFields&, const FieldNames&);

} // namespace Ebonystack
