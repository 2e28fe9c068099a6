// A buffer that grows without a second copy: the allocator moves the pages of a long one.
#pragma once

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string_view>

namespace Ebonystack {

/// Movable. Takes memory only for what is written to it, also if more is reserved.
class ByteBuffer {
public:
    ByteBuffer() = default;
    ByteBuffer(ByteBuffer&&) noexcept;
    ByteBuffer& operator=(ByteBuffer&&) noexcept;

    void reserve(std::size_t bytes);
    void append(std::string_view);
    std::string_view view() const { return { m_bytes.get(), m_size }; }
    std::size_t size() const { return m_size; }
    std::size_t capacity() const { return m_capacity; }

private:
    struct Free {
        void operator()(char* bytes) const { std::free(bytes); }
    };

    std::unique_ptr<char, Free> m_bytes;
    std::size_t m_size { 0 };
    std::size_t m_capacity { 0 };
};

} // namespace Ebonystack
