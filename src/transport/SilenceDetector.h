// Tells a peer that is silent from one that acknowledges all it gets and has no room for more. The latter can
// last for any time, and only the system's probes of its closed window show that it is there.
#pragma once

#include "state/Time.h"

#include <compare>
#include <cstdint>

namespace Ebonystack {

/// What the system knows of a connection on which sent bytes are not acknowledged.
struct AcknowledgementSample {
    std::uint32_t retransmissions { 0 }; ///< since the connection was made
    std::uint32_t unansweredProbes { 0 }; ///< of the peer's closed window, since its last acknowledgement
    Instant lastReceivedAt; ///< when the last acknowledgement arrived, with or without progress

    auto operator<=>(const AcknowledgementSample&) const = default;
};

class SilenceDetector {
public:
    /// Takes a sample, and returns whether the peer has not reacted to a retransmission or probe for the time
    /// that makes it silent. Called about every `silenceCheckPeriod` while sent bytes are not acknowledged.
    bool isSilent(const AcknowledgementSample&, Instant now);
    /// Called when bytes are sent after all earlier ones were acknowledged.
    void start(Instant now) { m_lastInTouch = now; }

private:
    Instant m_lastInTouch; // of the start, or the last sample without an unanswered retransmission or probe
    std::uint32_t m_retransmissions { 0 }; // in the last such sample
};

constexpr Duration silenceCheckPeriod = std::chrono::milliseconds(500);

} // namespace Ebonystack
