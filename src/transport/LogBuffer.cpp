// Writes in chunks that a writable pipe takes without blocking.
#include "transport/LogBuffer.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Ebonystack {
namespace {

/// A pipe that poll() reports as writable takes this many bytes without blocking.
constexpr std::size_t chunkBytes = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd pollEntry { descriptor, POLLOUT, 0 };
    return poll(&pollEntry, 1, 0) == 1 && (pollEntry.revents & POLLOUT) != 0;
}

} // namespace

LogBuffer::LogBuffer(int descriptor, std::size_t maxBytes)
    : m_descriptor(descriptor)
    , m_maxBytes(maxBytes)
{
}

bool LogBuffer::add(std::string_view line)
{
    if (pendingBytes() + line.size() + 1 > m_maxBytes) {
        ++m_droppedLines;
        return false;
    }
    m_buffer += line;
    m_buffer += '\n';
    return true;
}

void LogBuffer::flush()
{
    while (pendingBytes() > 0 && isWritable(m_descriptor)) {
        const std::size_t chunk = std::min(pendingBytes(), chunkBytes);
        const ssize_t count = write(m_descriptor, m_buffer.data() + m_writtenBytes, chunk);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return; // the reader has closed or is busy; the limit bounds what is buffered from here on
        m_writtenBytes += static_cast<std::size_t>(count);
    }
    if (pendingBytes() == 0 || m_writtenBytes > m_maxBytes / 2) {
        m_buffer.erase(0, m_writtenBytes);
        m_writtenBytes = 0;
    }
}

std::uint64_t LogBuffer::takeDroppedCount() { return std::exchange(m_droppedLines, 0); }

} // namespace Ebonystack
