// Runs requests of entry nodes at the upstream beside this node: admits them through the gate, sends them
// over persistent connections and reports for each whether it ran. When the link to an entry node is lost,
// its requests are kept for a short time so that the entry node can resume them.
#pragma once

#include "protocol/PeerFrame.h"
#include "transport/PeerLinks.h"
#include "transport/SidecarState.h"
#include "transport/UpstreamTransport.h"

#include <functional>
#include <memory>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class HopService {
public:
    /// Sends a response to the origin; false when there is no link to it.
    using Reply = std::function<bool(const HopOrigin&, HopResponse)>;

    /// The state and the transport outlive the service.
    HopService(SidecarState&, UpstreamTransport&, Reply reply);
    ~HopService();

    /// Takes a request, which gets one response unless it is cancelled.
    void request(const HopOrigin&, HopRequest);
    /// Answers a request that was not received: it has not run.
    void refuse(const HopOrigin&, std::uint64_t number);
    void cancel(const HopOrigin&, std::uint64_t number);
    /// Called when a lost link is up again: cancels the origin's requests that are not in `numbers`, and
    /// sends the response or the outcome of those in `numbers` that have ended or are unknown. Unknown ones
    /// have not run if they were sent to this process (`wereSentHere`) and their record can't have been
    /// dropped.
    void resume(const HopOrigin&, const std::vector<std::uint64_t>& numbers, bool wereSentHere);
    /// Cancels the origin's requests: at once when its process has ended, else after a timeout within which
    /// it may resume them.
    void originLost(const HopOrigin&, bool processEnded);

    /// Reads the slots and the draining state of the upstream beside this node from the directory.
    void refreshUpstream(Instant now);
    /// Rejects requests that have waited too long and updates the shed share. Called every 10 to 50 ms.
    void tick(Instant now);

    UpstreamLoad load() const;
    /// The number of requests that wait or run.
    std::size_t openCount() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
