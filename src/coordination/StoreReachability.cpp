// Keeps the last report of each VM.
#include "coordination/StoreReachability.h"

namespace Ebonystack {
namespace {

/// Nodes report with every heartbeat; a VM that has missed several may be down.
constexpr Duration reportLifetime = std::chrono::milliseconds(2500);

} // namespace

void StoreReachability::report(const VmId& vm, bool reachesStore, Instant now)
{
    m_reports.insert_or_assign(vm, Report { reachesStore, now });
}

StoreReachabilityState StoreReachability::stateOf(const VmId& vm, Instant now) const
{
    const auto found = m_reports.find(vm);
    if (found == m_reports.end() || now - found->second.at > reportLifetime)
        return StoreReachabilityState::Unknown;
    return found->second.reachesStore ? StoreReachabilityState::Reachable
                                      : StoreReachabilityState::Unreachable;
}

} // namespace Ebonystack
