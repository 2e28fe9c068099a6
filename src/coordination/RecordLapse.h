// Tells an upstream that has left from one whose record has only lapsed. The platform removes a record when
// its upstream leaves, and also when the upstream has not renewed it for three heartbeats, as happens while
// the VM or the whole fleet can't reach the store. Only a record that can have lapsed keeps its upstream in
// use.
#pragma once

#include "coordination/StoreReachability.h"
#include "state/ChangeTime.h"

namespace Ebonystack {

/// Records that lapsed because the store could not be reached are published again within about 2 s after the
/// store is reachable again, and heard of within half a second.
constexpr Duration lapsedRecordGrace = std::chrono::milliseconds(2500);

/// Records that a restored store lacks are written again, and read, within about this time after it is back.
constexpr Duration restoredRecordGrace = std::chrono::milliseconds(3000);

/// A record that the store has no longer.
struct MissingRecord {
    VmId vm;
    ChangeTime written; ///< its last change: renewals alone do not change it
    ChangeTime removed;
};

/// Until when the upstream stays in use: `now` if it has left, `Instant::max()` while its VM has no contact
/// with the store. `heartbeat` is the interval at which upstreams renew their records.
Instant inUseUntil(const MissingRecord&, const StoreReachability&, Duration heartbeat, Instant now);

/// Until when an upstream stays in use whose record a restored store lacks: the grace period runs from when
/// the store was back, and not from when this node hears of it.
Instant inUseAfterRestoreUntil(const ChangeTime& lost, const StoreReachability&, Instant now);

} // namespace Ebonystack
