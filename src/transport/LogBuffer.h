// The lines of a log on their way to a file descriptor. Writing never blocks: what the reader does not take
// is kept up to a bound, and lines beyond it are left out and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Ebonystack {

/// Not thread-safe.
class LogBuffer {
public:
    /// Writes to `descriptor`, which is not closed. Keeps up to `maxBytes`.
    LogBuffer(int descriptor, std::size_t maxBytes);

    /// Adds a line, without its end. False when there is no room for it.
    bool add(std::string_view line);
    /// Writes as much as the reader takes now.
    void flush();

    std::size_t pendingBytes() const { return m_bytes.size() - m_written; }
    /// Lines without room since the last call.
    std::uint64_t takeDroppedCount();

private:
    int m_descriptor;
    std::size_t m_maxBytes;
    std::string m_bytes;
    std::size_t m_written { 0 }; // of m_bytes; at most its size
    std::uint64_t m_droppedLines { 0 };
};

} // namespace Ebonystack
