// How an entry reaches the nodes beside upstreams, its own among them.
#pragma once

#include "protocol/PeerFrame.h"

#include <vector>

namespace Ebonystack {

class NodeTransport {
public:
    virtual ~NodeTransport() = default;

    /// Whether the node of a VM can be reached.
    virtual bool canReach(const VmId&) const = 0;
    virtual bool sendRequest(const VmId&, HopRequest) = 0;
    virtual void sendCancel(const VmId&, std::uint64_t number) = 0;
    virtual void sendResume(const VmId&, const std::vector<std::uint64_t>& numbers) = 0;
    /// Asks a team's home for tokens; the answer comes back by `EntryService::onTokenResponse`.
    virtual bool requestTokens(const VmId& owner, const TokenRequest&) = 0;
};

} // namespace Ebonystack
