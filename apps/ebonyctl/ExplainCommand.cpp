// Prints the decisions on one request, then the state of the involved nodes at that time.
#include "ebonyctl/ExplainCommand.h"

#include "ebonyctl/LogLines.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace Ebonystack {
namespace {

/// Events that show a node's state. The last of each up to the request's last line is printed.
constexpr auto nodeStateEvents = std::to_array<std::string_view>(
    { "configuration in force", "admission plan", "store lost", "store regained", "load", "leaving" });

/// Fields that are not printed, because every line has them or the heading shows them.
constexpr auto commonFields = std::to_array<std::string_view>({ "time", "event", "level", "request" });

bool isOneOf(const auto& list, std::string_view word) { return std::ranges::find(list, word) != list.end(); }

std::string fieldsText(const LogLine& line)
{
    std::string text;
    for (const auto& [name, value] : line.fields.items()) {
        if (isOneOf(commonFields, name))
            continue;
        text += text.empty() ? "" : ", ";
        text += name + ' ' + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

void print(std::ostream& out, const LogLine& line, std::int64_t start)
{
    out << (line.time >= start ? "+" : "") << line.time - start << " ms  " << line.origin << "  "
        << line.event << "  " << fieldsText(line) << '\n';
}

} // namespace

ExitCode runExplain(CommandContext& context)
{
    if (context.arguments.empty()) {
        context.error << "Expected a request id: ebonyctl explain REQUEST-ID [FILE...]\n";
        return ExitCode::Usage;
    }
    const std::string id = context.arguments.front();
    std::vector<LogLine> decisions;
    std::vector<LogLine> nodeStates;
    const auto unreadable = readLogLines(
        { context.arguments.begin() + 1, context.arguments.end() }, context.in, [&](LogLine line) {
            if (line.fields.value("request", "") == id)
                decisions.push_back(std::move(line));
            else if (isOneOf(nodeStateEvents, line.event))
                nodeStates.push_back(std::move(line));
        });
    for (const std::string& name : unreadable)
        context.error << name << " can't be read\n";
    if (decisions.empty()) {
        context.error
            << "No log line has request " << id
            << ". Successful requests are logged as a sample and failed ones up to a limit per second; the\n"
               "event \"lines left out\" counts the dropped lines.\n";
        return ExitCode::ProblemsFound;
    }
    std::ranges::stable_sort(decisions, {}, &LogLine::time);
    std::ranges::stable_sort(nodeStates, {}, &LogLine::time);
    const std::int64_t start = decisions.front().time;
    context.out << "request " << id << ", from " << start << " ms\n";
    for (const LogLine& decision : decisions)
        print(context.out, decision, start);
    context.out << "state of these nodes at that time:\n";
    for (const std::string_view event : nodeStateEvents) {
        std::vector<std::string> shownOrigins; // origins
        for (auto nodeState = nodeStates.rbegin(); nodeState != nodeStates.rend(); ++nodeState) {
            const bool isInvolvedNode
                = std::ranges::find(decisions, nodeState->origin, &LogLine::origin) != decisions.end();
            if (nodeState->event != event || nodeState->time > decisions.back().time || !isInvolvedNode
                || isOneOf(shownOrigins, nodeState->origin))
                continue;
            shownOrigins.push_back(nodeState->origin);
            print(context.out, *nodeState, start);
        }
    }
    return ExitCode::Success;
}

} // namespace Ebonystack
