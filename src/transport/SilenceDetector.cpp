// A peer is silent if something was sent to it again, and nothing has come from it since.
#include "transport/SilenceDetector.h"

namespace Ebonystack {
namespace {

/// Time without an acknowledgement after a retransmission or probe, plus the time that may pass between the
/// last sample before that and the retransmission.
constexpr Duration silenceTimeout = std::chrono::milliseconds(2500) + silenceCheckPeriod;
/// The system's times are less precise than the clock.
constexpr Duration timeTolerance = std::chrono::milliseconds(20);

} // namespace

bool SilenceDetector::isSilent(const AcknowledgementSample& sample, Instant now)
{
    const bool awaitsReaction = sample.unansweredProbes > 0 || sample.retransmissions != m_retransmissions;
    if (!awaitsReaction || sample.lastReceivedAt + timeTolerance > m_lastInTouch) {
        m_lastInTouch = now;
        m_retransmissions = sample.retransmissions;
        return false;
    }
    return now - m_lastInTouch >= silenceTimeout;
}

} // namespace Ebonystack
