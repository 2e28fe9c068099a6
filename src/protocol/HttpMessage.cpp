// Implements lookup and removal of header fields.
#include "protocol/HttpMessage.h"

#include <algorithm>
#include <array>

namespace Ebonystack {
namespace {

constexpr auto hopByHopFields
    = std::to_array<std::string_view>({ "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" });

constexpr std::uint16_t firstInterimStatus = 100;
constexpr std::uint16_t firstFinalStatus = 200;
constexpr std::uint16_t lastFinalStatus = 599;

char lowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool contains(auto&& names, std::string_view name)
{
    return std::ranges::any_of(names, [name](std::string_view each) { return sameFieldName(each, name); });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> namesInConnectionFields(const HttpFields& fields)
{
    std::vector<std::string> names;
    for (const HttpField& field : fields.all()) {
        if (!sameFieldName(field.name, "Connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            names.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

} // namespace

bool sameFieldName(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, lowerCase, lowerCase);
}

void HttpFields::add(std::string name, std::string value)
{
    m_fields.push_back({ std::move(name), std::move(value) });
}

std::optional<std::string_view> HttpFields::find(std::string_view name) const
{
    const auto found = std::ranges::find_if(
        m_fields, [name](const HttpField& field) { return sameFieldName(field.name, name); });
    if (found == m_fields.end())
        return std::nullopt;
    return found->value;
}

std::size_t HttpFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_fields, [name](const HttpField& field) { return sameFieldName(field.name, name); }));
}

bool isInterimStatus(std::uint16_t status)
{
    constexpr std::uint16_t switchingProtocols = 101;
    return status >= firstInterimStatus && status < firstFinalStatus && status != switchingProtocols;
}

bool isFinalStatus(std::uint16_t status) { return status >= firstFinalStatus && status <= lastFinalStatus; }

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

void removeHopByHopFields(HttpFields& fields)
{
    const auto connectionNames = namesInConnectionFields(fields);
    fields.removeIf([&](const HttpField& field) {
        return contains(hopByHopFields, field.name) || contains(connectionNames, field.name);
    });
}

} // namespace Ebonystack
