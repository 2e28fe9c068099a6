// Where this node gets the store's changes from: its own watch of all keys, or a reader of its data centre.
// Sets the mode of the store's reader by the node's role, passes changes on, and requests missing ones from
// peers.
#pragma once

#include "coordination/StoreChangeRelay.h"
#include "coordination/StoreReachability.h"
#include "coordination/StoreRoles.h"
#include "transport/PeerLinks.h"
#include "transport/SidecarState.h"
#include "transport/StoreReader.h"

namespace Ebonystack {

/// Belongs to the event loop's thread.
class StoreFeed {
public:
    /// The referenced objects outlive the feed.
    StoreFeed(SidecarState&, StoreMirror&, StoreReader&, PeerLinks&, const StoreReachability&);

    /// `now` is the start of the node.
    void start(Instant now);
    /// Called when the directory may have changed.
    void refreshPeers();
    /// Takes the role that follows from the links and from who reaches the store. Called about every 50 ms.
    void tick(Instant now);

    /// Called with the position that a peer's heartbeat reports.
    void onPeerPosition(const VmId&, const StorePosition&, Instant now);
    void onChanges(const StoreChangesResponse&, Instant now);
    void onPush(const VmId&, const StoreChangesPush&, Instant now);

    StoreRole role() const { return m_role; }

private:
    std::vector<StoreRoleCandidate> candidates(Instant now) const;
    void setRole(StoreRole, Instant now);
    void setPlan();
    void push();

    SidecarState& m_state;
    StoreMirror& m_mirror;
    StoreReader& m_reader;
    PeerLinks& m_links;
    const StoreReachability& m_reachability;
    StoreChangeRelay m_relay;
    StoreRole m_role { StoreRole::Follower };
    std::vector<VmId> m_localPeers; // the other VMs of this data centre
    std::size_t m_dataCentres { 1 };
    Instant m_startedAt;
};

} // namespace Ebonystack
