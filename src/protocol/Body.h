// The body of a message: bytes that all parts of a node refer to and none copies. They may be a part of a
// longer buffer, as of a frame.
#pragma once

#include "protocol/ByteBuffer.h"

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Ebonystack {

/// Shorter bodies are copied into the buffers of connections, so that a message is written at once. Longer
/// ones are passed on by reference.
constexpr std::size_t minLongBodyBytes = std::size_t { 16 } << 10;

/// Immutable, and compared by content. Copies share the bytes.
class Body {
public:
    Body() = default;
    Body(std::string bytes); // not explicit: text is a body
    Body(ByteBuffer bytes); // likewise
    Body(const char* text)
        : Body(std::string(text))
    {
    }

    /// A part of `buffer`, all of which it keeps.
    static Body partOf(std::string buffer, std::size_t begin, std::size_t length);

    std::string_view view() const { return m_bytes; }
    std::size_t size() const { return m_bytes.size(); }
    bool empty() const { return m_bytes.empty(); }
    bool isLong() const { return size() >= minLongBodyBytes; }

    /// Whether the memory of the bytes is counted in an account.
    bool isCounted() const { return m_owner && m_owner->reservation; }
    /// Keeps what counts the memory of the bytes for as long as there are references to them.
    void count(std::shared_ptr<const void> reservation) const;

    friend bool operator==(const Body& a, const Body& b) { return a.m_bytes == b.m_bytes; }
    friend std::strong_ordering operator<=>(const Body& a, const Body& b) { return a.m_bytes <=> b.m_bytes; }

private:
    struct Owner {
        explicit Owner(std::string bytes)
            : text(std::move(bytes))
        {
        }
        explicit Owner(ByteBuffer bytes)
            : buffer(std::move(bytes))
        {
        }

        const std::string text;
        const ByteBuffer buffer; // one of the two is empty
        std::shared_ptr<const void> reservation;
    };

    std::shared_ptr<Owner> m_owner; // null: empty
    std::string_view m_bytes; // of the owner's buffer
};

} // namespace Ebonystack
