// The heads of HTTP messages as plain values, so that only the connection classes depend on the HTTP library.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ebonystack {

struct HttpField {
    std::string name;
    std::string value;

    auto operator<=>(const HttpField&) const = default;
};

/// Whether two field names are the same; case does not matter.
bool sameFieldName(std::string_view, std::string_view);

/// The header fields of one message in the order in which they were added.
class HttpFields {
public:
    void add(std::string name, std::string value);
    /// The value of the first field of this name; nothing if there is none.
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<HttpField>& all() const { return m_fields; }

    template <typename Predicate> void removeIf(Predicate&& predicate) { std::erase_if(m_fields, predicate); }

    auto operator<=>(const HttpFields&) const = default;

private:
    std::vector<HttpField> m_fields;
};

struct RequestHead {
    std::string method;
    std::string target; ///< path and query
    HttpFields fields;
    bool keepAlive { true };

    auto operator<=>(const RequestHead&) const = default;
};

struct ResponseHead {
    std::uint16_t status { 200 };
    HttpFields fields;
    bool keepAlive { true };

    auto operator<=>(const ResponseHead&) const = default;
};

/// Whether a response with this status precedes another one to the same request. Not 101: no request asks for
/// another protocol.
bool isInterimStatus(std::uint16_t);

/// Whether a response with this status is the one to its request. HTTP has no meaning for those below 100 and
/// above 599.
bool isFinalStatus(std::uint16_t);

/// The part of a target before the query.
std::string_view pathOf(std::string_view target);

/// Removes the fields that apply to a single connection, and those that the `Connection` field names.
void removeHopByHopFields(HttpFields&);

} // namespace Ebonystack
