// The links between this node and the others: one TCP connection for each direction of requests, on which
// requests, answers and beats are multiplexed. A link that falls silent is given up and opened again; both
// ends then agree on what became of the requests in between.
#pragma once

#include "protocol/PeerFrame.h"
#include "transport/DecisionLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <compare>
#include <cstdint>
#include <memory>
#include <vector>

namespace Ebonystack {

/// The process that a request came from.
struct HopOrigin {
    VmId vm;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const HopOrigin&) const = default;
};

/// What happens on links. Calls come from the event loop.
class PeerEvents {
public:
    virtual ~PeerEvents() = default;

    virtual LinkHeartbeat localHeartbeat() const = 0;
    virtual void onHeartbeat(const VmId&, const LinkHeartbeat&) = 0;

    // At the entry.
    /// The link to a VM works. `sameProcess`: it is the process that this node was linked to before.
    virtual void onLinkUp(const VmId&, bool sameProcess) = 0;
    virtual void onLinkDown(const VmId&) = 0;
    virtual void onResponse(const VmId&, HopResponse) = 0;
    virtual void onStoreChanges(const StoreChangesResponse&) = 0;
    virtual void onTokenResponse(const TokenResponse&) = 0;

    // At the upstream's node.
    virtual void onRequest(const HopOrigin&, HopRequest) = 0;
    virtual void onCancel(const HopOrigin&, std::uint64_t number) = 0;
    virtual void onResume(const HopOrigin&, const std::vector<std::uint64_t>& numbers) = 0;
    /// The link from an origin has ended; `processEnded` when its process has.
    virtual void onOriginLost(const HopOrigin&, bool processEnded) = 0;
    virtual StoreChangesResponse storeChanges(std::uint64_t since) const = 0;
    virtual TokenResponse grantTokens(const TokenRequest&) = 0;
};

/// Belongs to the event loop's thread.
class PeerLinks {
public:
    /// All nodes listen on `port`. What it refers to outlives the links.
    PeerLinks(
        boost::asio::io_context&, DecisionLog&, PeerEvents&, const LinkHello& localHello, std::uint16_t port);
    ~PeerLinks();

    /// Takes a connection that another node has opened.
    void accept(boost::asio::ip::tcp::socket);
    /// The VMs to be linked with, without this one.
    void setPeers(const std::vector<VmId>&);
    /// Sends beats, gives up silent links and opens lost ones. Call it every 50 ms or so.
    void tick(Instant now);
    /// Sends a beat on every link at once.
    void sendHeartbeats(Instant now);

    bool isUp(const VmId&) const;
    std::size_t upCount() const;
    /// Sends to the node of a VM; false when there is no link.
    bool send(const VmId&, const PeerFrame&);
    /// Sends to the origin of a request; false when it has no link.
    bool reply(const HopOrigin&, const PeerFrame&);

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
