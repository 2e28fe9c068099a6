// ebonyctl: the command-line tool for operators.
#include "ebonyctl/Command.h"

#include <gflags/gflags.h>
#include <iostream>

using namespace Ebonystack;

namespace {

int toExitStatus(ExitCode code) { return static_cast<int>(code); }

bool isHelpRequested(int argc, char** argv)
{
    return argc < 2 || std::string_view(argv[1]) == "--help" || std::string_view(argv[1]) == "help";
}

} // namespace

int main(int argc, char** argv)
{
    if (isHelpRequested(argc, argv)) {
        std::cout << usageText();
        return toExitStatus(argc < 2 ? ExitCode::Usage : ExitCode::Success);
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const Command* command = argc > 1 ? findCommand(argv[1]) : nullptr;
    if (!command) {
        std::cerr << usageText();
        return toExitStatus(ExitCode::Usage);
    }
    CommandContext context { std::cin, std::cout, std::cerr,
        std::vector<std::string>(argv + 2, argv + argc) };
    return toExitStatus(command->run(context));
}
