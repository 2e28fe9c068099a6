// The links between this node and the other nodes: one TCP connection for each direction of requests, on
// which requests, responses and heartbeats are multiplexed. A silent link is closed and reopened; both ends
// then reconcile the requests that were in flight (HopResume).
#pragma once

#include "coordination/MemoryAdmission.h"
#include "protocol/PeerFrame.h"
#include "state/HopOrigin.h"
#include "transport/DecisionLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Ebonystack {

/// Callbacks for events on links. Called on the event loop's thread.
class PeerEvents {
public:
    virtual ~PeerEvents() = default;

    virtual LinkHeartbeat localHeartbeat() const = 0;
    virtual void onHeartbeat(const VmId&, const LinkHeartbeat&) = 0;

    // Called on the entry node, which opened the link.
    /// The link to a VM is up. `process`: the incarnation of the process that it leads to.
    virtual void onLinkUp(const VmId&, std::uint64_t process) = 0;
    virtual void onLinkDown(const VmId&) = 0;
    virtual void onResponse(const VmId&, HopResponse) = 0;
    /// There was no memory for the response to a request.
    virtual void onResponseDiscarded(const VmId&, std::uint64_t number) = 0;
    virtual void onStoreChanges(const StoreChangesResponse&) = 0;
    virtual void onTokenResponse(const TokenResponse&) = 0;

    // Called on the upstream's node, which accepted the link.
    virtual void onRequest(const HopOrigin&, HopRequest) = 0;
    /// There is no memory for a request, which is not received.
    virtual void onRequestRefused(const HopOrigin&, std::uint64_t number) = 0;
    virtual void onCancel(const HopOrigin&, std::uint64_t number) = 0;
    virtual void onResume(const HopOrigin&, const HopResume&) = 0;
    /// The link from an origin has ended. `processEnded`: a new process of the same VM has connected.
    virtual void onOriginLost(const HopOrigin&, bool processEnded) = 0;
    virtual void onStoreChangesPush(const VmId&, const StoreChangesPush&) = 0;
    virtual StoreChangesResponse storeChanges(const StoreChangesRequest&) const = 0;
    virtual TokenResponse grantTokens(const TokenRequest&) = 0;
};

/// Belongs to the event loop's thread.
class PeerLinks {
public:
    /// All nodes listen on `port`. Long frames are received when `admission` has memory for them. The
    /// referenced objects must outlive the links.
    PeerLinks(boost::asio::io_context&, DecisionLog&, PeerEvents&, const LinkHello& localHello,
        std::uint16_t port, MemoryAdmission& admission);
    ~PeerLinks();

    /// Adds a connection that another node has opened.
    void accept(boost::asio::ip::tcp::socket);
    /// Sets the VMs to link with, without the local one.
    void setPeers(const std::vector<VmId>&);
    /// Sends heartbeats, closes silent links and reopens lost ones. Called about every 50 ms.
    void tick(Instant now);
    /// Sends a heartbeat on every link now.
    void sendHeartbeats(Instant now);

    bool isUp(const VmId&) const;
    /// The incarnation of the process that the link to a VM leads to; nothing while it is not up.
    std::optional<std::uint64_t> processAt(const VmId&) const;
    std::size_t upCount() const;
    /// Sends to the node of a VM. Returns false if the link to it is not up, or the frame exceeds the node's
    /// limit.
    bool send(const VmId&, const PeerFrame&);
    /// Sends to those of the VMs to which the link is up.
    void sendToAll(const std::vector<VmId>&, const PeerFrame&);
    /// Sends to the origin of a request. Returns false if there is no link from it.
    bool reply(const HopOrigin&, const PeerFrame&);
    /// Whether some reply is not yet with the origin's system. Makes a system call for each link on which one
    /// was not the last time.
    bool hasUnacknowledgedReplies();

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
