// The bytes that a connection has yet to send: short messages in one buffer, long bodies by reference between
// them.
#pragma once

#include "protocol/Body.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Ebonystack {

class OutputQueue {
public:
    void append(std::string_view);
    void append(const Body&);
    /// The bytes to send next; empty if there are none.
    std::string_view front() const;
    /// Removes sent bytes from `front`.
    void removeFront(std::size_t bytes);
    void clear();
    std::size_t size() const { return m_size; }

private:
    struct Piece {
        std::string text; // empty if it is a body
        Body body;

        std::string_view bytes() const { return body.empty() ? std::string_view(text) : body.view(); }
    };

    std::vector<Piece> m_pieces; // the last one is kept empty for its buffer
    std::size_t m_sent { 0 }; // bytes of the first piece
    std::size_t m_size { 0 };
};

} // namespace Ebonystack
