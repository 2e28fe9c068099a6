// The table of commands and the usage text.
#include "ebonyctl/Command.h"

#include "ebonyctl/CheckCommand.h"
#include "ebonyctl/CodesCommand.h"
#include "ebonyctl/ExplainCommand.h"
#include "ebonyctl/ReportCommand.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace Ebonystack {
namespace {

constexpr auto commands = std::to_array<Command>({
    { "check", "check settings|config FILE",
        "Checks a node's settings or a published configuration; prints every problem.", runCheck },
    { "codes", "codes [NUMBER]", "Prints all result codes, or the one with this number.", runCodes },
    { "explain", "explain REQUEST-ID [FILE...]",
        "Prints the log lines of one request on all nodes, in chronological order.", runExplain },
    { "report", "report [FILE...]",
        "Writes an HTML page from logs: load, refusals and configuration versions over time.", runReport },
});

} // namespace

std::span<const Command> commandTable() { return commands; }

const Command* findCommand(std::string_view name)
{
    const auto found = std::ranges::find(commands, name, &Command::name);
    return found == commands.end() ? nullptr : &*found;
}

std::string usageText()
{
    std::ostringstream text;
    text << "ebonyctl COMMAND\n\n";
    for (const Command& command : commands)
        text << "  " << command.usage << "\n      " << command.help << '\n';
    text << "\nLogs are read from standard input when no file is named. Text before the first brace of a "
            "line,\n"
            "as log collectors add it, is kept as the line's origin.\n"
            "\nExamples:\n"
            "  ebonyctl check settings sidecar.json\n"
            "  ebonyctl explain 4fc092aea55facba node-*.log\n"
            "  ebonyctl report < all.log > report.html\n"
            "  ebonyctl codes 301\n\n"
            "Exit codes: 0 done, 1 problems found or nothing found, 2 wrong command line.\n";
    return text.str();
}

} // namespace Ebonystack
