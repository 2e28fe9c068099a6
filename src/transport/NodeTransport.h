// Interface through which an entry node sends to the nodes beside upstreams, including itself.
#pragma once

#include "protocol/PeerFrame.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Ebonystack {

class NodeTransport {
public:
    virtual ~NodeTransport() = default;

    /// Whether the node of a VM is this node or has a link that is up.
    virtual bool canReach(const VmId&) const = 0;
    /// The incarnation of the process that requests to a VM's node go to now; nothing when there is no link.
    virtual std::optional<std::uint64_t> processAt(const VmId&) const = 0;
    /// Returns false when there is no link.
    virtual bool sendRequest(const VmId&, HopRequest) = 0;
    virtual void sendCancel(const VmId&, std::uint64_t number) = 0;
    virtual void sendResume(const VmId&, const HopResume&) = 0;
    /// Requests tokens from the owner of a team's plan; false when there is no link. The response is passed
    /// to `EntryService::onTokenResponse`, possibly before this returns.
    virtual bool requestTokens(const VmId& owner, const TokenRequest&) = 0;
};

} // namespace Ebonystack
