// A record can't have lapsed if less time has passed since it can have been renewed last.
#include "coordination/RecordLapse.h"

#include <algorithm>

namespace Ebonystack {
namespace {

constexpr int heartbeatsToLapse = 3;
/// Upstreams renew their records about every heartbeat.
constexpr double heartbeatTolerance = 0.25;

/// The shortest time from a renewal of a record to its lapse.
Duration minTimeToLapse(Duration heartbeat)
{
    return fromSeconds(toSeconds(heartbeat) * (heartbeatsToLapse - heartbeatTolerance));
}

/// Whether a record can have lapsed by `time` for want of contact since `lostAfter`. The last renewal may be
/// a heartbeat older.
bool canLapse(Instant lostAfter, Instant time, Duration heartbeat)
{
    return time - lostAfter >= minTimeToLapse(heartbeat) - heartbeat;
}

/// Until when the record's upstream is in use if its VM has this contact.
Instant inUseUntil(const MissingRecord& record, const StoreContact& contact,
    const StoreReachability& reachability, Duration heartbeat, Instant now)
{
    const Instant removedBy = record.removed.heardAt;
    if (contact.lostAfter)
        return canLapse(*contact.lostAfter, removedBy, heartbeat) ? Instant::max() : now;
    const auto& outage = contact.lastOutage;
    const bool hasLapsed
        = outage && canLapse(outage->beganAfter, std::min(removedBy, outage->endedBy), heartbeat);
    if (!hasLapsed)
        return now;
    // A VM that was cut off alone can have been back before it noticed. After an outage of the whole store no
    // upstream may be given up before it can have published its record again.
    const Instant backAt
        = reachability.isFleetOutage(record.vm, *outage, now) ? outage->endedBy : outage->endedAfter;
    return backAt + lapsedRecordGrace;
}

/// Whether an outage of this node, which may be one of the whole store, is later than the last sign of the
/// store that the VM has reported.
bool mayShareOutage(const StoreContact& vm, const StoreContact& local)
{
    if (vm.lostAfter || !vm.lastSeen)
        return false;
    return local.lostAfter || (local.lastOutage && *vm.lastSeen < local.lastOutage->endedBy);
}

} // namespace

Instant inUseUntil(
    const MissingRecord& record, const StoreReachability& reachability, Duration heartbeat, Instant now)
{
    const Instant removedBy = record.removed.heardAt;
    const auto& writtenAfter = record.written.madeAfter;
    if (writtenAfter && removedBy - *writtenAfter < minTimeToLapse(heartbeat))
        return now;
    const StoreContact& local = reachability.local();
    const auto vm = reachability.contactOf(record.vm, now);
    if (!vm) // only this node's contact says whether the whole store was away
        return local.lostAfter
            ? std::min(inUseUntil(record, local, reachability, heartbeat, now), removedBy + lapsedRecordGrace)
            : inUseUntil(record, local, reachability, heartbeat, now);
    if (mayShareOutage(*vm, local) && canLapse(*vm->lastSeen, removedBy, heartbeat))
        return inUseUntil(record, local, reachability, heartbeat, now);
    return inUseUntil(record, *vm, reachability, heartbeat, now);
}

Instant inUseAfterRestoreUntil(const ChangeTime& lost, const StoreReachability& reachability, Instant now)
{
    if (!lost.madeAfter)
        return lost.heardAt + restoredRecordGrace;
    // The store went away after the last sign of it that this node had before its own outage.
    const StoreContact& local = reachability.local();
    Instant awayAfter = std::max(*lost.madeAfter, local.lostAfter.value_or(Instant()));
    if (!local.lostAfter && local.lastOutage)
        awayAfter = std::max(awayAfter, local.lastOutage->beganAfter);
    const auto backBy = reachability.firstOutageEndAfter(awayAfter, now);
    return std::min(backBy.value_or(awayAfter), lost.heardAt) + restoredRecordGrace;
}

} // namespace Ebonystack
