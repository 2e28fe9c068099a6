// The upstream's side of a hop: admits requests to the upstream beside this node, runs them over its kept
// connections, and tells for each whether it ran. A request whose entry has lost its link is kept for a
// moment, so that the entry can take it up again.
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
    /// Delivers an answer to the origin; false when it can't be reached now.
    using Reply = std::function<bool(const HopOrigin&, HopResponse)>;

    /// The port outlives the service.
    HopService(SidecarState&, UpstreamTransport&, Reply reply);
    ~HopService();

    void request(const HopOrigin&, HopRequest);
    void cancel(const HopOrigin&, std::uint64_t number);
    void resume(const HopOrigin&, const std::vector<std::uint64_t>& numbers);
    void originLost(const HopOrigin&, bool processEnded);

    /// Takes what the directory says of the upstream beside this node: its slots, and whether it drains.
    void refreshUpstream(Instant now);
    /// Observes the gate and gives up what waits too long. Call it every 10 to 50 ms.
    void tick(Instant now);

    UpstreamLoad load() const;
    /// Requests that wait or run.
    std::size_t openCount() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
