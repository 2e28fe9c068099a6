// The commands of ebonyctl: a table of names, help texts and functions.
#pragma once

#include "ebonyctl/ExitCode.h"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Ebonystack {

/// The streams and arguments of a command. Tests pass string streams.
struct CommandContext {
    std::istream& in;
    std::ostream& out;
    std::ostream& error;
    std::vector<std::string> arguments; ///< after the command's name
};

struct Command {
    std::string_view name;
    std::string_view usage;
    std::string_view help;
    ExitCode (*run)(CommandContext&);
};

std::span<const Command> commandTable();

/// Returns null if there is no command of this name.
const Command* findCommand(std::string_view name);

/// Returns the text of `--help`.
std::string usageText();

} // namespace Ebonystack
