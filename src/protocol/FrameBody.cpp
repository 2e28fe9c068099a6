// Walks the CBOR items of a frame (RFC 8949, section 3).
#include "protocol/FrameBody.h"

namespace Ebonystack {
namespace {

/// Major types of items, the three high bits of an item's first byte.
enum MajorType : unsigned {
    UnsignedNumber = 0,
    ByteString = 2,
    TextString = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
};

/// Values of the five low bits: up to this one they are the item's argument.
constexpr unsigned lastDirectArgument = 23;
constexpr unsigned lastLengthOfArgument = 27; // 24 to 27: 1, 2, 4 or 8 bytes follow
constexpr unsigned lowBits = 0x1f;
constexpr unsigned lowBitCount = 5;

struct ItemHead {
    unsigned majorType { 0 };
    std::uint64_t argument { 0 };
};

/// Reads items one after the other. Every operation returns nothing or false when the bytes end early or an
/// item is of indefinite length.
class Walker {
public:
    explicit Walker(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    std::size_t position() const { return m_position; }

    std::optional<ItemHead> readHead()
    {
        if (m_position >= m_bytes.size())
            return std::nullopt;
        const unsigned first = byteAt(m_position++);
        const unsigned low = first & lowBits;
        ItemHead head { first >> lowBitCount, low };
        if (low <= lastDirectArgument)
            return head;
        if (low > lastLengthOfArgument)
            return std::nullopt;
        const std::size_t count = std::size_t { 1 } << (low - lastDirectArgument - 1);
        if (m_bytes.size() - m_position < count)
            return std::nullopt;
        head.argument = 0;
        for (std::size_t i = 0; i < count; ++i)
            head.argument = head.argument << 8 | byteAt(m_position++);
        return head;
    }

    std::optional<std::uint64_t> readArgument(MajorType expected)
    {
        const auto head = readHead();
        return head && head->majorType == expected ? std::optional(head->argument) : std::nullopt;
    }

    bool skipBytes(std::uint64_t count)
    {
        if (count > m_bytes.size() - m_position)
            return false;
        m_position += count;
        return true;
    }

    /// Skips an item with all that it contains.
    bool skipItem()
    {
        std::uint64_t left = 1;
        while (left-- > 0) {
            const auto head = readHead();
            if (!head)
                return false;
            const bool isString = head->majorType == ByteString || head->majorType == TextString;
            if (isString && !skipBytes(head->argument))
                return false;
            const std::uint64_t contained = containedItems(*head);
            if (contained > m_bytes.size() - m_position) // each has a byte at least
                return false;
            left += contained;
        }
        return true;
    }

private:
    unsigned byteAt(std::size_t position) const { return static_cast<unsigned char>(m_bytes[position]); }

    std::uint64_t containedItems(const ItemHead& head) const
    {
        if (head.majorType == Array)
            return head.argument;
        if (head.majorType == Map)
            return head.argument > m_bytes.size() ? head.argument : head.argument * 2;
        return head.majorType == Tag ? 1 : 0;
    }

    std::string_view m_bytes;
    std::size_t m_position { 0 };
};

/// Reads the start of a frame up to the elements of its message: an array of the type and the message.
std::optional<std::uint64_t> readType(Walker& walker, std::uint64_t& elements)
{
    if (walker.readArgument(Array) != 2)
        return std::nullopt;
    const auto type = walker.readArgument(UnsignedNumber);
    const auto count = walker.readArgument(Array);
    if (!type || !count)
        return std::nullopt;
    elements = *count;
    return type;
}

} // namespace

std::optional<FrameStart> readFrameStart(std::string_view content)
{
    Walker walker(content);
    std::uint64_t elements = 0;
    const auto type = readType(walker, elements);
    if (!type)
        return std::nullopt;
    return FrameStart { *type, elements > 0 ? walker.readArgument(UnsignedNumber) : std::nullopt };
}

std::optional<FrameBody> findFrameBody(std::string_view content, std::size_t index)
{
    Walker walker(content);
    std::uint64_t elements = 0;
    if (!readType(walker, elements) || elements <= index)
        return std::nullopt;
    for (std::size_t i = 0; i < index; ++i) {
        if (!walker.skipItem())
            return std::nullopt;
    }
    const std::size_t headBegin = walker.position();
    const auto length = walker.readArgument(ByteString);
    const std::size_t begin = walker.position();
    if (!length || !walker.skipBytes(*length))
        return std::nullopt;
    return FrameBody { headBegin, begin, static_cast<std::size_t>(*length) };
}

std::string encodeByteStringHead(std::size_t length)
{
    const auto head = [](unsigned low) { return static_cast<char>(ByteString << lowBitCount | low); };
    if (length <= lastDirectArgument)
        return { head(static_cast<unsigned>(length)) };
    std::size_t log = 0; // of the number of bytes
    while (log < 3 && length >> (8U << log) != 0)
        ++log;
    std::string text { head(lastDirectArgument + 1 + static_cast<unsigned>(log)) };
    for (std::size_t i = std::size_t { 1 } << log; i-- > 0;)
        text += static_cast<char>(length >> (8 * i) & 0xff);
    return text;
}

} // namespace Ebonystack
