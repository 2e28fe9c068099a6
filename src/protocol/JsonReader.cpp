// Implements typed reading of JSON objects; each problem has a result code.
#include "protocol/JsonReader.h"

#include "protocol/DurationText.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace Ebonystack {
namespace {

using Json = nlohmann::json;

constexpr int maxJsonDepth = 32;

template <typename Value> std::string rangeHint(Value min, Value max)
{
    std::ostringstream text;
    text << "must be from " << min << " to " << max;
    return text.str();
}

/// Escapes a key for use in a JSON pointer (RFC 6901).
std::string escapePointer(std::string_view key)
{
    std::string escaped;
    for (const char c : key) {
        if (c == '~')
            escaped += "~0";
        else if (c == '/')
            escaped += "~1";
        else
            escaped += c;
    }
    return escaped;
}

/// Parser callback that detects what the parser itself accepts: too many levels, and a key that occurs twice
/// in one object, of which the parser would silently keep the last value.
class ParseObserver {
public:
    bool operator()(int depth, Json::parse_event_t event, const Json& json)
    {
        m_tooDeep = m_tooDeep || depth > maxJsonDepth;
        if (event == Json::parse_event_t::object_start)
            m_openObjectKeys.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            m_openObjectKeys.pop_back();
        else if (event == Json::parse_event_t::key)
            recordKey(json.get_ref<const std::string&>());
        return !m_tooDeep;
    }

    bool tooDeep() const { return m_tooDeep; }
    const std::set<std::string>& duplicateKeys() const { return m_duplicateKeys; }

private:
    void recordKey(const std::string& key)
    {
        if (!m_openObjectKeys.back().insert(key).second)
            m_duplicateKeys.insert(key);
    }

    std::vector<std::set<std::string>> m_openObjectKeys; // for each object being parsed, outermost first
    std::set<std::string> m_duplicateKeys;
    bool m_tooDeep { false };
};

} // namespace

JsonObjectReader::JsonObjectReader(const Json& json, std::string path, Problems& problems)
    : m_json(json)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!json.is_object())
        m_problems.push_back({ ResultCode::FieldTypeWrong, m_path, "must be an object" });
}

std::string JsonObjectReader::pathOf(std::string_view key) const { return m_path + '/' + escapePointer(key); }

void JsonObjectReader::addProblem(ResultCode code, std::string_view key, std::string hint)
{
    m_problems.push_back({ code, pathOf(key), std::move(hint) });
}

const Json* JsonObjectReader::find(std::string_view key, Presence presence)
{
    m_requestedKeys.emplace(key);
    if (!m_json.is_object())
        return nullptr;
    const auto found = m_json.find(key);
    if (found != m_json.end())
        return &*found;
    if (presence == Presence::Required)
        addProblem(ResultCode::FieldMissing, key, "add this field");
    return nullptr;
}

void JsonObjectReader::text(std::string_view key, std::string& target, LengthRange range, Presence presence)
{
    const Json* json = find(key, presence);
    if (!json)
        return;
    if (!json->is_string())
        return addProblem(ResultCode::FieldTypeWrong, key, "must be a string");
    const auto& value = json->get_ref<const std::string&>();
    if (value.size() < range.min || value.size() > range.max)
        return addProblem(ResultCode::FieldOutOfRange, key, "length " + rangeHint(range.min, range.max));
    target = value;
}

void JsonObjectReader::integer(
    std::string_view key, std::uint64_t& target, UnsignedRange range, Presence presence)
{
    const Json* json = find(key, presence);
    if (!json)
        return;
    if (!json->is_number_integer())
        return addProblem(ResultCode::FieldTypeWrong, key, "must be a whole number");
    if (!json->is_number_unsigned() || json->get<std::uint64_t>() < range.min
        || json->get<std::uint64_t>() > range.max)
        return addProblem(ResultCode::FieldOutOfRange, key, rangeHint(range.min, range.max));
    target = json->get<std::uint64_t>();
}

void JsonObjectReader::integer(
    std::string_view key, std::uint32_t& target, UnsignedRange range, Presence presence)
{
    constexpr std::uint64_t maxTargetValue = std::numeric_limits<std::uint32_t>::max();
    std::uint64_t wideValue = target;
    integer(key, wideValue, { range.min, std::min(range.max, maxTargetValue) }, presence);
    target = static_cast<std::uint32_t>(wideValue);
}

void JsonObjectReader::number(std::string_view key, double& target, NumberRange range, Presence presence)
{
    const Json* json = find(key, presence);
    if (!json)
        return;
    if (!json->is_number())
        return addProblem(ResultCode::FieldTypeWrong, key, "must be a number");
    const double value = json->get<double>();
    if (!std::isfinite(value) || value < range.min || value > range.max)
        return addProblem(ResultCode::FieldOutOfRange, key, rangeHint(range.min, range.max));
    target = value;
}

void JsonObjectReader::boolean(std::string_view key, bool& target, Presence presence)
{
    const Json* json = find(key, presence);
    if (!json)
        return;
    if (!json->is_boolean())
        return addProblem(ResultCode::FieldTypeWrong, key, "must be true or false");
    target = json->get<bool>();
}

void JsonObjectReader::milliseconds(
    std::string_view key, Duration& target, UnsignedRange range, Presence presence)
{
    constexpr std::uint64_t maxMilliseconds = 86'400'000; // one day
    std::uint64_t count = static_cast<std::uint64_t>(toMilliseconds(target));
    integer(key, count, { range.min, std::min(range.max, maxMilliseconds) }, presence);
    target = std::chrono::milliseconds(count);
}

void JsonObjectReader::duration(std::string_view key, Duration& target, Presence presence)
{
    const Json* json = find(key, presence);
    if (!json)
        return;
    const auto duration
        = json->is_string() ? parseDuration(json->get_ref<const std::string&>()) : std::nullopt;
    if (!duration)
        return addProblem(ResultCode::FieldTypeWrong, key, durationFormatHint);
    target = *duration;
}

void JsonObjectReader::array(std::string_view key,
    const std::function<void(const Json&, const std::string&)>& readItem, LengthRange range,
    Presence presence)
{
    const Json* json = find(key, presence);
    if (!json)
        return;
    if (!json->is_array())
        return addProblem(ResultCode::FieldTypeWrong, key, "must be an array");
    if (json->size() < range.min || json->size() > range.max)
        return addProblem(
            ResultCode::FieldOutOfRange, key, "number of items " + rangeHint(range.min, range.max));
    std::size_t index = 0;
    for (const Json& item : *json)
        readItem(item, pathOf(key) + '/' + std::to_string(index++));
}

void JsonObjectReader::object(std::string_view key,
    const std::function<void(const Json&, const std::string&)>& readFields, Presence presence)
{
    if (const Json* json = find(key, presence))
        readFields(*json, pathOf(key));
}

void JsonObjectReader::finish()
{
    if (!m_json.is_object())
        return;
    for (const auto& item : m_json.items()) {
        if (!m_requestedKeys.contains(item.key()))
            addProblem(ResultCode::FieldUnknown, item.key(), "remove this field or correct its name");
    }
}

Json parseJson(std::string_view text, Problems& problems)
{
    ParseObserver observer;
    const auto callback = [&observer](int depth, Json::parse_event_t event, const Json& json) {
        return observer(depth, event, json);
    };
    Json json = Json::parse(text, callback, false);
    if (observer.tooDeep() || json.is_discarded()) {
        problems.push_back({ ResultCode::JsonInvalid, "", "must be valid JSON with at most 32 levels" });
        return Json(Json::value_t::discarded);
    }
    for (const std::string& key : observer.duplicateKeys())
        problems.push_back(
            { ResultCode::NameDuplicate, "", "the key \"" + key + "\" occurs twice in one object" });
    return json;
}

std::optional<Json> parseDocument(std::string_view text, Problems& problems)
{
    if (text.size() > maxDocumentBytes) {
        problems.push_back({ ResultCode::FieldOutOfRange, "", "the document must be at most 1 MiB" });
        return std::nullopt;
    }
    Json json = parseJson(text, problems);
    if (json.is_discarded())
        return std::nullopt;
    return json;
}

} // namespace Ebonystack
