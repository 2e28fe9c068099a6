// Document types and the functions that check them.
#include "ebonyctl/CheckCommand.h"

#include "ConfigDecoder.h"
#include "protocol/SidecarSettings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Ebonystack {
namespace {

using ProblemTexts = std::vector<std::string>;

ProblemTexts checkSettings(const std::string& text)
{
    ProblemTexts problems;
    const auto settings = parseSidecarSettings(text);
    if (!settings) {
        for (const Problem& problem : settings.error())
            problems.push_back(toString(problem));
    }
    return problems;
}

ProblemTexts checkConfig(const std::string& text)
{
    const auto config = Platform::decodeConfig(text);
    return config ? ProblemTexts {} : ProblemTexts { config.error() };
}

struct DocumentType {
    std::string_view name;
    ProblemTexts (*check)(const std::string&);
};

constexpr auto documentTypes
    = std::to_array<DocumentType>({ { "settings", checkSettings }, { "config", checkConfig } });

} // namespace

ExitCode runCheck(CommandContext& context)
{
    const auto& arguments = context.arguments;
    const auto* type = arguments.size() == 2
        ? std::ranges::find(documentTypes, arguments.front(), &DocumentType::name)
        : documentTypes.end();
    if (type == documentTypes.end()) {
        context.error << "Expected a document type and a file: ebonyctl check settings|config FILE\n";
        return ExitCode::Usage;
    }
    std::ifstream file(arguments.back(), std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        context.error << arguments.back() << " can't be read; check its name and permissions.\n";
        return ExitCode::ProblemsFound;
    }
    const ProblemTexts problems = type->check(text.str());
    for (const std::string& problem : problems)
        context.out << problem << '\n';
    context.out << type->name << ": "
                << (problems.empty() ? "no problems" : std::to_string(problems.size()) + " problems") << '\n';
    return problems.empty() ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace Ebonystack
