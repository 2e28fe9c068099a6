// Reads scenario files. Each line is a statement, whose first word names the kind of statement.
#pragma once

#include "lab/LoadScenario.h"
#include "lab/ScenarioGrammar.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Ebonystack {

/// Returns the scenario, or the first error in the text with its position.
tl::expected<LoadScenario, ScenarioError> parseScenario(std::string_view text);

/// Reads and parses a file. An unreadable file is an error at line 0.
tl::expected<LoadScenario, ScenarioError> loadScenario(const std::string& file);

} // namespace Ebonystack
