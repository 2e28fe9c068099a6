// One node on the users' platform: composes the entry, the hop to the upstream, the links, the store reader
// and the listeners on one event loop, and drives their timers.
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
    /// Reads the settings anew; nothing when they can't be used.
    using Reload = std::function<std::optional<SidecarSettings>()>;

    /// Throws UserError when an address can't be listened on. `adapter` outlives the sidecar.
    Sidecar(SidecarSettings, const PlatformAdapter& adapter, Reload reload);
    ~Sidecar();

    /// Serves until a stop was asked for by SIGTERM or SIGINT and no request is left, or the grace is over.
    void run();

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

} // namespace Ebonystack
