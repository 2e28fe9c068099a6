// Appends to the last buffer unless a body follows it.
#include "transport/OutputQueue.h"

namespace Ebonystack {
namespace {

/// A larger buffer is freed once it is written: most messages are smaller, and a node has many connections.
constexpr std::size_t maxRetainedBytes = 64 << 10;

} // namespace

void OutputQueue::append(std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (m_pieces.empty() || !m_pieces.back().body.empty())
        m_pieces.emplace_back();
    m_pieces.back().text.append(bytes);
    m_size += bytes.size();
}

void OutputQueue::append(const Body& body)
{
    if (!body.isLong())
        return append(body.view());
    m_pieces.push_back({ {}, body });
    m_size += body.size();
}

std::string_view OutputQueue::front() const
{
    return m_size == 0 ? std::string_view() : m_pieces.front().bytes().substr(m_sent);
}

void OutputQueue::removeFront(std::size_t bytes)
{
    m_sent += bytes;
    m_size -= bytes;
    if (m_sent < m_pieces.front().bytes().size())
        return;
    m_sent = 0;
    std::string& text = m_pieces.front().text;
    if (m_pieces.size() > 1 || text.empty() || text.capacity() > maxRetainedBytes)
        m_pieces.erase(m_pieces.begin());
    else
        text.clear();
}

void OutputQueue::clear()
{
    m_pieces.clear();
    m_sent = 0;
    m_size = 0;
}

} // namespace Ebonystack
