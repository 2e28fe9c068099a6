// Keeps the store mirrors of a fleet alike without a call to the store for each node: what a reader passes on
// to its data centre, and when a node requests from a peer what it lacks. Pushes may be lost, repeated or
// reordered, and their sender may restart; a mirror never counts a change as known that it has not received.
#pragma once

#include "coordination/StoreMirror.h"
#include "protocol/PeerFrame.h"

#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class StoreChangeRelay {
public:
    /// The mirror outlives the relay.
    explicit StoreChangeRelay(StoreMirror&);

    /// The changes since the last push, or since the node became a reader; nothing if there are none. Called
    /// on a reader when its mirror has advanced.
    std::optional<StoreChangesPush> takePush();
    /// Begins the pushes of a node that becomes a reader: the others know what the last reader has passed on.
    void startPushing();
    /// Applies a push. Returns a request to its sender if changes before it are missing.
    std::optional<StoreChangesRequest> receivePush(const StoreChangesPush&);
    /// Applies the response to a request.
    void receiveResponse(const StoreChangesResponse&);
    /// Called with a peer's position. Returns a request if the mirror has been behind for longer than a push
    /// takes, and none was made a moment ago.
    std::optional<StoreChangesRequest> compareWithPeer(const StorePosition& peer, Instant now);

private:
    StoreChangesRequest makeRequest() const;

    StoreMirror& m_mirror;
    StorePosition m_pushed; // up to where the others have the changes, by pushes of this or another node
    StorePosition m_behindAt; // the mirror's position when a peer was first seen ahead of it
    Instant m_behindSince;
    std::optional<Instant> m_requestedAt;
};

} // namespace Ebonystack
