// The notices of all upstreams, as their nodes report them. An entry node remembers them while the upstream's
// own node can't: after a restart that node knows nothing until the upstream responds again.
#pragma once

#include "coordination/UpstreamDirectory.h"
#include "state/UpstreamNotice.h"

#include <map>

namespace Ebonystack {

/// Not thread-safe.
class UpstreamNotices {
public:
    /// Called with the notice of each load report.
    void record(const UpstreamNotice&);
    /// The limit that the upstream has named last; nothing when it named none.
    std::optional<double> requestLimit(const InstanceId&) const;
    /// Forgets the upstreams that have left the directory.
    void removeUnknown(const UpstreamDirectory&);

private:
    std::map<InstanceId, UpstreamNotice> m_notices;
};

} // namespace Ebonystack
