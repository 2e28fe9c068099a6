// The received bytes of one link, and the frames in them. A long frame is received only when there is memory
// for it; its buffer then becomes its body.
#pragma once

#include "coordination/MemoryAdmission.h"
#include "protocol/PeerFrame.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Ebonystack {

/// Not thread-safe. Without long frames it holds less than one, `minLongBodyBytes`.
class LinkInput {
public:
    /// The next frame has not arrived completely.
    struct Incomplete { };
    /// There is no memory for the next frame: its owner skips it, or tries again later.
    struct Refused {
        std::optional<FrameStart> start; ///< of a request or response, with its number
    };
    /// The bytes are not a valid frame.
    struct Invalid {
        std::string problem;
    };
    using Next = std::variant<PeerFrame, Incomplete, Refused, Invalid>;

    /// `admission` outlives the input.
    explicit LinkInput(MemoryAdmission& admission)
        : m_admission(admission)
    {
    }

    void append(std::string_view);
    /// Removes and returns the next frame, of at most `maxBytes`.
    Next next(std::size_t maxBytes);
    /// Discards the next frame, also what has not arrived of it.
    void skip();
    void clear();
    /// Whether `next` has returned Refused, and nothing was removed since.
    bool isRefused() const { return m_isRefused; }

private:
    std::string_view unused() const { return std::string_view(m_bytes).substr(m_used); }
    void removeUsed();
    std::string takeWholeFrame(std::size_t length);
    Next nextLong(std::size_t length);

    MemoryAdmission& m_admission;
    std::string m_bytes;
    std::size_t m_used { 0 }; // bytes of m_bytes whose frames were returned or skipped
    std::size_t m_toSkip { 0 }; // of bytes that have not arrived
    bool m_isRefused { false };
    std::shared_ptr<MemoryBudget::Reservation> m_memory; // of the long frame that is being received
};

} // namespace Ebonystack
