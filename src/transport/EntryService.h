// Handles callers' requests at the entry node: authenticates a request, finds its route, takes a token of the
// team's plan, decides on admission and dispatches the request to the node of a selected upstream. Dispatches
// it to another node if it did not run, and sends the caller exactly one response, in time for its deadline.
#pragma once

#include "transport/EntryCall.h"
#include "transport/NodeTransport.h"
#include "transport/SidecarState.h"

#include <functional>
#include <memory>
#include <set>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class EntryService {
public:
    using Respond = std::function<void(HttpResponse)>;

    EntryService(SidecarState&, NodeTransport&, std::uint64_t seed);
    ~EntryService();

    /// Starts a call for a caller's request, which took `readingTime` to read: its time runs since its start.
    /// `respond` is called once, possibly before `begin` returns, and not after `cancel`.
    CallId begin(HttpRequest, Respond respond, Duration readingTime = Duration::zero());
    /// Ends the call without a response: the caller has disconnected.
    void cancel(CallId);

    /// Takes the response of a VM's node to a hop request.
    void onResponse(const VmId&, HopResponse);
    /// A node's response to a request was not received.
    void onResponseDiscarded(const VmId&, std::uint64_t number);
    /// `process`: the incarnation of the node process that the link leads to. Requests that were sent to an
    /// earlier one may have run there.
    void onLinkUp(const VmId&, std::uint64_t process);
    void onLinkDown(const VmId&);
    void onTokenResponse(const TokenResponse&);

    /// Recomputes the admitted share of each demand class. Called a few times a second.
    void updateAdmittedShares(Instant now);

    /// The VMs whose nodes have requests without a response, also those without a link or a record.
    std::set<VmId> awaitedVms() const;

    /// The number of calls without a response.
    std::size_t openCount() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
