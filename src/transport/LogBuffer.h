// Buffers log lines for a file descriptor. Writing never blocks: lines that the reader does not take are
// buffered up to a limit; lines beyond the limit are dropped and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Ebonystack {

/// Not thread-safe.
class LogBuffer {
public:
    /// Writes to `descriptor` and does not close it. Buffers at most `maxBytes`.
    LogBuffer(int descriptor, std::size_t maxBytes);

    /// Adds `line` and a line feed. Returns false, and counts the line as dropped, if the buffer has no room.
    bool add(std::string_view line);
    /// Writes as many bytes as the descriptor takes without blocking.
    void flush();

    std::size_t pendingBytes() const { return m_buffer.size() - m_writtenBytes; }
    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

private:
    int m_descriptor;
    std::size_t m_maxBytes;
    std::string m_buffer;
    std::size_t m_writtenBytes { 0 }; // bytes of m_buffer that are written; at most its size
    std::uint64_t m_droppedLines { 0 };
};

} // namespace Ebonystack
