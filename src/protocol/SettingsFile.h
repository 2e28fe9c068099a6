// Reads the text of a settings file.
#pragma once

#include "protocol/Problem.h"

#include <string>
#include <tl/expected.hpp>

namespace Ebonystack {

/// Returns the text of a file, or FileUnreadable if the file can't be read.
tl::expected<std::string, Problems> readSettingsFile(const std::string& file);

} // namespace Ebonystack
