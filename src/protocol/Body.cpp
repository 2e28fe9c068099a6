// Shares one buffer among the copies of a body.
#include "protocol/Body.h"

namespace Ebonystack {

Body::Body(std::string bytes)
{
    const std::size_t length = bytes.size();
    if (length > 0)
        *this = partOf(std::move(bytes), 0, length);
}

Body::Body(ByteBuffer bytes)
{
    if (bytes.size() == 0)
        return;
    m_owner = std::make_shared<Owner>(std::move(bytes));
    m_bytes = m_owner->buffer.view();
}

Body Body::partOf(std::string buffer, std::size_t begin, std::size_t length)
{
    Body body;
    body.m_owner = std::make_shared<Owner>(std::move(buffer));
    body.m_bytes = std::string_view(body.m_owner->text).substr(begin, length);
    return body;
}

void Body::count(std::shared_ptr<const void> reservation) const
{
    if (m_owner)
        m_owner->reservation = std::move(reservation);
}

} // namespace Ebonystack
