// Lookups of kinds, services and load factors in a scenario.
#include "lab/LoadScenario.h"

#include <algorithm>

namespace Ebonystack {

const RequestKind* LoadScenario::findKind(const RouteId& name) const
{
    const auto found = std::ranges::find(kinds, name, &RequestKind::name);
    return found == kinds.end() ? nullptr : &*found;
}

const ScenarioService* LoadScenario::findService(const ServiceName& name) const
{
    const auto found = std::ranges::find(services, name, &ScenarioService::name);
    return found == services.end() ? nullptr : &*found;
}

double LoadScenario::loadAt(Duration time) const
{
    for (const LoadPhase& phase : phases) {
        if (time < phase.until)
            return phase.factor;
    }
    return phases.empty() ? 1 : phases.back().factor;
}

Duration LoadScenario::length() const { return phases.empty() ? Duration::zero() : phases.back().until; }

} // namespace Ebonystack
