// One node beside an upstream VM: creates the entry service, the hop service, the links to other nodes, the
// store reader and the listeners, runs them on one event loop and drives their timers.
#pragma once

#include "protocol/PlatformAdapter.h"
#include "protocol/SidecarSettings.h"

#include <functional>
#include <memory>
#include <optional>

namespace Ebonystack {

/// Runs on the thread that calls `run`.
class Sidecar {
public:
    /// Reads the settings again; returns nullopt if they are not usable.
    using Reload = std::function<std::optional<SidecarSettings>()>;

    /// Throws UserError when an address can't be listened on. `adapter` outlives the sidecar.
    Sidecar(SidecarSettings, const PlatformAdapter& adapter, Reload reload);
    ~Sidecar();

    /// Serves until SIGTERM or SIGINT was received and no request is open, or the grace period has ended.
    void run();

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

} // namespace Ebonystack
