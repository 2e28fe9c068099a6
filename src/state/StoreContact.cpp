// Converts between times and ages.
#include "state/StoreContact.h"

namespace Ebonystack {

StoreContactAges agesOf(const StoreContact& contact, Instant now)
{
    const auto age = [&](const std::optional<Instant>& time) {
        return time ? std::optional(now - *time) : std::nullopt;
    };
    StoreContactAges ages { age(contact.lastSeen), age(contact.lostAfter), {}, {}, {} };
    if (contact.lastOutage) {
        ages.outageBeganAfter = now - contact.lastOutage->beganAfter;
        ages.outageEndedAfter = now - contact.lastOutage->endedAfter;
        ages.outageEndedBy = now - contact.lastOutage->endedBy;
    }
    return ages;
}

StoreContact contactOf(const StoreContactAges& ages, Instant now)
{
    const auto time
        = [&](const std::optional<Duration>& age) { return age ? std::optional(now - *age) : std::nullopt; };
    StoreContact contact { time(ages.lastSeen), time(ages.lostAfter), {} };
    if (ages.outageBeganAfter && ages.outageEndedAfter && ages.outageEndedBy)
        contact.lastOutage = StoreOutage { now - *ages.outageBeganAfter, now - *ages.outageEndedAfter,
            now - *ages.outageEndedBy };
    return contact;
}

} // namespace Ebonystack
