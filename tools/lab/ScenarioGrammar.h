// Splits the text of a scenario into tokens with their positions.
#pragma once

#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Ebonystack {

enum class ScenarioTokenKind : std::uint8_t {
    Word,
    Number,
    Time, ///< a number with "ms", "s" or "min"
    Comparison, ///< "<=" or ">="
};

struct ScenarioToken {
    ScenarioTokenKind kind { ScenarioTokenKind::Word };
    std::string text;
    double number { 0 }; ///< of a Number
    Duration time { 0 }; ///< of a Time
    int line { 0 }; ///< from 1
    int column { 0 }; ///< from 1

    auto operator<=>(const ScenarioToken&) const = default;
};

/// An error in a scenario with its position; line 0 stands for the whole scenario.
struct ScenarioError {
    int line { 0 };
    int column { 0 };
    std::string message;

    auto operator<=>(const ScenarioError&) const = default;
};

/// Returns "line L, column C: message".
std::string toString(const ScenarioError&);

/// Returns the tokens of each line that is not empty; comments begin with '#'. The error is the first text
/// that is no token.
tl::expected<std::vector<std::vector<ScenarioToken>>, ScenarioError> tokenizeScenario(std::string_view text);

} // namespace Ebonystack
