// Grows with realloc.
#include "protocol/ByteBuffer.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace Ebonystack {

ByteBuffer::ByteBuffer(ByteBuffer&& other) noexcept
    : m_bytes(std::move(other.m_bytes))
    , m_size(std::exchange(other.m_size, 0))
    , m_capacity(std::exchange(other.m_capacity, 0))
{
}

ByteBuffer& ByteBuffer::operator=(ByteBuffer&& other) noexcept
{
    m_bytes = std::move(other.m_bytes);
    m_size = std::exchange(other.m_size, 0);
    m_capacity = std::exchange(other.m_capacity, 0);
    return *this;
}

void ByteBuffer::reserve(std::size_t bytes)
{
    if (bytes <= m_capacity)
        return;
    char* const moved = static_cast<char*>(std::realloc(m_bytes.get(), bytes));
    if (!moved)
        throw std::bad_alloc();
    static_cast<void>(m_bytes.release()); // realloc has freed or moved it
    m_bytes.reset(moved);
    m_capacity = bytes;
}

void ByteBuffer::append(std::string_view bytes)
{
    if (bytes.empty())
        return;
    const std::size_t needed = m_size + bytes.size();
    if (needed > m_capacity)
        reserve(std::max(needed, m_capacity + m_capacity / 2));
    std::memcpy(m_bytes.get() + m_size, bytes.data(), bytes.size());
    m_size = needed;
}

} // namespace Ebonystack
