// Reads typed fields from a JSON object and collects every problem instead of stopping at the first.
#pragma once

#include "protocol/Problem.h"
#include "state/Time.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Ebonystack {

struct UnsignedRange {
    std::uint64_t min { 0 };
    std::uint64_t max { std::numeric_limits<std::uint64_t>::max() };
};

struct NumberRange {
    double min { 0 };
    double max { 1e15 };
};

struct LengthRange {
    std::size_t min { 1 };
    std::size_t max { 256 };
};

enum class Presence {
    Required,
    Optional,
};

/// Reads one JSON object. A missing or invalid field leaves the target unchanged.
///
///     JsonObjectReader reader(json, "/plans/0", problems);
///     reader.number("ratePerSecond", plan.ratePerSecond, { 0.001, 1e6 });
///     reader.finish();
class JsonObjectReader {
public:
    /// `json` and `problems` must outlive the reader. Adds a problem when `json` is not an object.
    JsonObjectReader(const nlohmann::json& json, std::string path, Problems& problems);

    void text(std::string_view key, std::string& target, LengthRange = {}, Presence = Presence::Required);
    void integer(
        std::string_view key, std::uint64_t& target, UnsignedRange = {}, Presence = Presence::Required);
    void integer(
        std::string_view key, std::uint32_t& target, UnsignedRange = {}, Presence = Presence::Required);
    void number(std::string_view key, double& target, NumberRange = {}, Presence = Presence::Required);
    void boolean(std::string_view key, bool& target, Presence = Presence::Required);
    /// A whole number of milliseconds.
    void milliseconds(
        std::string_view key, Duration& target, UnsignedRange = {}, Presence = Presence::Required);
    /// A string with a number and a unit; see DurationText.h.
    void duration(std::string_view key, Duration& target, Presence = Presence::Required);
    /// Calls `readItem` with each element and its path.
    void array(std::string_view key,
        const std::function<void(const nlohmann::json&, const std::string&)>& readItem,
        LengthRange = { 0, 100000 }, Presence = Presence::Required);
    /// Calls `readFields` with the value and its path.
    void object(std::string_view key,
        const std::function<void(const nlohmann::json&, const std::string&)>& readFields,
        Presence = Presence::Required);

    /// Adds a problem for each field that no other call has requested. Call it last.
    void finish();

    std::string pathOf(std::string_view key) const;
    void addProblem(ResultCode, std::string_view key, std::string hint);

private:
    const nlohmann::json* find(std::string_view key, Presence);

    const nlohmann::json& m_json;
    std::string m_path;
    Problems& m_problems;
    std::set<std::string, std::less<>> m_requestedKeys; // keys of the calls so far
};

/// Larger documents are rejected. The platform's store holds no larger values.
constexpr std::size_t maxDocumentBytes = 1 << 20;

/// The highest version of a document: the largest integer that all JSON libraries represent exactly.
constexpr std::uint64_t maxVersion = (1ULL << 53) - 1;

/// Parses JSON of at most 32 levels. Adds JsonInvalid and returns a discarded value if the text is invalid or
/// nested deeper. Adds NameDuplicate for each key that occurs twice in one object.
nlohmann::json parseJson(std::string_view text, Problems&);

/// Parses the text of a document or settings file. Returns nothing if it is longer than maxDocumentBytes or
/// not valid JSON.
std::optional<nlohmann::json> parseDocument(std::string_view text, Problems&);

} // namespace Ebonystack
