// The notice of the upstream beside this node that is in force: that of its newest response. Responses can
// overtake each other, so one without a notice counts only if its request was sent after the last response
// with one had arrived.
#pragma once

#include "state/Time.h"
#include "state/UpstreamNotice.h"

namespace Ebonystack {

/// Not thread-safe.
class UpstreamNoticeTracker {
public:
    /// Called with the notice of each response whose request was sent at `sentAt`; returns whether the notice
    /// in force has changed.
    bool onResponse(const UpstreamNotice&, Instant sentAt, Instant now);

    /// Takes over a notice that another node remembers, until the upstream responds for the first time since
    /// this node's start. Returns whether the notice in force has changed.
    bool adopt(const UpstreamNotice&);

    /// Forgets the notice: the address belongs to another run of an upstream.
    void reset() { *this = {}; }

    /// The notice in force; nothing until the upstream has given one since the node's start.
    const std::optional<UpstreamNotice>& notice() const { return m_notice; }

private:
    std::optional<UpstreamNotice> m_notice;
    bool m_hasResponded { false }; // the upstream, since this node's start
    Instant m_heardAt; // when the last response with a notice arrived
};

} // namespace Ebonystack
