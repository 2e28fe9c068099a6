// Writes in pieces that a writable pipe takes without blocking.
#include "transport/LogBuffer.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Ebonystack {
namespace {

/// A pipe that polls as writable takes this much at once.
constexpr std::size_t chunkBytes = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd entry { descriptor, POLLOUT, 0 };
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
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
    m_bytes += line;
    m_bytes += '\n';
    return true;
}

void LogBuffer::flush()
{
    while (pendingBytes() > 0 && isWritable(m_descriptor)) {
        const std::size_t chunk = std::min(pendingBytes(), chunkBytes);
        const ssize_t count = write(m_descriptor, m_bytes.data() + m_written, chunk);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return; // the reader is gone, or busy after all: the bound takes care of what follows
        m_written += static_cast<std::size_t>(count);
    }
    if (pendingBytes() == 0 || m_written > m_maxBytes / 2) {
        m_bytes.erase(0, m_written);
        m_written = 0;
    }
}

std::uint64_t LogBuffer::takeDroppedCount() { return std::exchange(m_droppedLines, 0); }

} // namespace Ebonystack
