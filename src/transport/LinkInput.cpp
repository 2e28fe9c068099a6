// Cuts the bytes of a link into frames.
#include "transport/LinkInput.h"

#include <algorithm>
#include <utility>

namespace Ebonystack {
namespace {

/// A larger buffer is freed once its frames are decoded, since a node has many links.
constexpr std::size_t maxRetainedBytes = 64 << 10;
/// Bytes of the next frames that may arrive with the end of a long one.
constexpr std::size_t followingBytes = 64 << 10;
/// The type and number of a frame lie within so many bytes.
constexpr std::size_t maxFrameStartBytes = 32;
/// Control frames up to this length are received without asking for memory: a link that ends for want of it
/// fails requests of callers, and needs longer frames to resume them.
constexpr std::size_t maxControlFrameBytes = std::size_t { 1 } << 20;

MemoryUse useOf(const std::optional<FrameStart>& start)
{
    return start && isHopRequest(*start) ? MemoryUse::PeerRequest : MemoryUse::Response;
}

} // namespace

void LinkInput::append(std::string_view bytes)
{
    const std::size_t skipped = std::min(m_toSkip, bytes.size());
    m_toSkip -= skipped;
    m_bytes.append(bytes.substr(skipped));
}

LinkInput::Next LinkInput::next(std::size_t maxBytes)
{
    const auto length = frameLength(unused());
    if (length && *length >= minLongBodyBytes && *length <= maxBytes + sizeof(std::uint32_t))
        return nextLong(*length);
    std::size_t consumed = 0;
    auto frame = decodeFrame(unused(), consumed, maxBytes);
    if (!frame)
        return Invalid { frame.error() };
    if (!*frame) {
        removeUsed();
        return Incomplete {};
    }
    m_used += consumed;
    return std::move(**frame);
}

LinkInput::Next LinkInput::nextLong(std::size_t length)
{
    if (!m_memory) {
        if (unused().size() < maxFrameStartBytes)
            return Incomplete {};
        const auto start = frameStart(unused());
        const bool isAlwaysReceived = start && isControlFrame(*start) && length <= maxControlFrameBytes;
        m_isRefused = !isAlwaysReceived && !m_admission.admits(useOf(start), length);
        if (m_isRefused)
            return Refused { start && (isHopRequest(*start) || isHopResponse(*start)) ? start
                                                                                      : std::nullopt };
        m_memory = std::make_shared<MemoryBudget::Reservation>(m_admission.budget());
        m_memory->resize(length);
        removeUsed();
        if (length >= minLongMessageBytes)
            m_bytes.reserve(length + followingBytes);
    }
    if (unused().size() < length)
        return Incomplete {};
    auto frame = decodeWholeFrame(takeWholeFrame(length));
    const auto memory = std::exchange(m_memory, nullptr);
    if (!frame)
        return Invalid { frame.error() };
    if (const Body* body = bodyOf(*frame); body && body->isLong())
        body->count(memory);
    return std::move(*frame);
}

/// Removes the next frame. The buffer of a short one is of its length: that of the input can be several times
/// longer.
std::string LinkInput::takeWholeFrame(std::size_t length)
{
    if (length < minLongMessageBytes) {
        std::string frame(unused().substr(0, length));
        m_used += length;
        return frame;
    }
    removeUsed();
    std::string following = m_bytes.substr(length);
    m_bytes.resize(length);
    return std::exchange(m_bytes, std::move(following));
}

void LinkInput::skip()
{
    const std::size_t length = frameLength(unused()).value_or(0);
    const std::size_t arrived = std::min(unused().size(), length);
    m_used += arrived;
    m_toSkip = length - arrived;
    m_memory.reset();
    m_isRefused = false;
    removeUsed();
}

void LinkInput::clear()
{
    std::string().swap(m_bytes); // an assignment would keep the buffer
    m_used = 0;
    m_toSkip = 0;
    m_memory.reset();
    m_isRefused = false;
}

void LinkInput::removeUsed()
{
    m_bytes.erase(0, std::exchange(m_used, 0));
    if (m_bytes.empty() && m_bytes.capacity() > maxRetainedBytes)
        m_bytes.shrink_to_fit();
}

} // namespace Ebonystack
