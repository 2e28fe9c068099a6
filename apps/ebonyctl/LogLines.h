// Reads the structured log lines of nodes.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Ebonystack {

struct LogLine {
    std::int64_t time { 0 }; ///< milliseconds since the Unix epoch, by the clock of the node's VM
    std::string origin; ///< the text that a log collector has put before the line, or else the file's name
    std::string event;
    nlohmann::json fields;
};

/// Reads from `files`, or from `in` if there are none, and calls `each` for every line that is a JSON object
/// with a time and an event. Returns the names of files that can't be read.
std::vector<std::string> readLogLines(
    const std::vector<std::string>& files, std::istream& in, const std::function<void(LogLine)>& each);

} // namespace Ebonystack
