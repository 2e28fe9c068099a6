// The entry's side of a request: authenticates it, finds its route, takes a token of its team's plan, decides
// whether to start it, and sends it to the chosen upstream's node; sends it on if it did not run there; and
// gives the caller exactly one answer, in time.
#pragma once

#include "transport/EntryCall.h"
#include "transport/NodeTransport.h"
#include "transport/SidecarState.h"

#include <functional>
#include <memory>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class EntryService {
public:
    using Respond = std::function<void(HttpResponse)>;

    EntryService(SidecarState&, NodeTransport&, std::uint64_t seed);
    ~EntryService();

    /// Takes a caller's request. `respond` is called once, unless the call is cancelled before.
    CallId begin(HttpRequest, Respond respond);
    /// The caller is gone.
    void cancel(CallId);

    void onResponse(const VmId&, HopResponse);
    void onLinkUp(const VmId&, bool sameProcess);
    void onLinkDown(const VmId&);
    void onTokenResponse(const TokenResponse&);

    /// Recomputes what share of the demand is admitted. Call it a few times a second.
    void updateAdmittedShares(Instant now);

    std::size_t openCount() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
