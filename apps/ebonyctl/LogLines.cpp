// Parses log lines from files or a stream.
#include "ebonyctl/LogLines.h"

#include <fstream>
#include <optional>

namespace Ebonystack {
namespace {

std::string trimmed(const std::string& text)
{
    constexpr std::string_view blanks = " \t|:";
    const auto first = text.find_first_not_of(blanks);
    const auto last = text.find_last_not_of(blanks);
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

std::optional<LogLine> parseLine(const std::string& text, const std::string& source)
{
    const auto brace = text.find('{');
    if (brace == std::string::npos)
        return std::nullopt;
    nlohmann::json json = nlohmann::json::parse(text.substr(brace), nullptr, false);
    if (!json.is_object() || !json.contains("time") || !json.contains("event"))
        return std::nullopt;
    LogLine line;
    line.time = json.at("time").is_number_integer() ? json.at("time").get<std::int64_t>() : 0;
    line.event = json.at("event").is_string() ? json.at("event").get<std::string>() : "";
    line.origin = brace > 0 ? trimmed(text.substr(0, brace)) : source;
    line.fields = std::move(json);
    return line;
}

void readStream(std::istream& in, const std::string& source, const std::function<void(LogLine)>& each)
{
    std::string text;
    while (std::getline(in, text)) {
        if (auto line = parseLine(text, source))
            each(std::move(*line));
    }
}

} // namespace

std::vector<std::string> readLogLines(
    const std::vector<std::string>& files, std::istream& in, const std::function<void(LogLine)>& each)
{
    if (files.empty())
        readStream(in, "", each);
    std::vector<std::string> unreadable;
    for (const std::string& name : files) {
        std::ifstream file(name);
        if (file)
            readStream(file, name, each);
        else
            unreadable.push_back(name);
    }
    return unreadable;
}

} // namespace Ebonystack
