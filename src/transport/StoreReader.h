// Reads the platform's store: lists all keys once and then watches them for changes, or only probes whether
// the store responds where another node passes the changes on. Lists again if the store has dropped the
// history since the last known revision. Calls that fail or are rejected are retried with a jittered backoff;
// a watch that has gone silent is made again at once on a new connection.
#pragma once

#include "coordination/StoreMirror.h"
#include "coordination/StoreRoles.h"
#include "coordination/TimerService.h"
#include "protocol/PlatformAdapter.h"
#include "state/RandomSource.h"
#include "state/StoreContact.h"
#include "transport/DecisionLog.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class StoreReader {
public:
    /// The referenced objects must outlive the reader.
    StoreReader(boost::asio::io_context&, TimerService&, const PlatformAdapter&, StoreMirror&, DecisionLog&,
        std::string address, std::uint64_t seed);
    ~StoreReader();

    /// `onChanges` is called after changes read from the store have been applied to the mirror.
    void subscribe(std::function<void()> onChanges);
    void start(Instant now);
    /// Called when a peer holds changes that this reader has not received. Reopens the connection of a
    /// pending watch, since it may be dead, at most once in 2 s.
    void reconnectStaleWatch(Instant now);
    void setAddress(std::string address);
    /// Watching begins at once, probing when the pending watch has ended. A shorter wait also binds the
    /// pending watch.
    void setPlan(const StoreCallPlan&);

    const StoreContact& contact() const;
    /// Whether calls have been failing for more than 600 ms.
    bool isUnreachable(Instant now) const;
    std::optional<Instant> lastSuccessAt() const;
    /// Number of calls to the store so far.
    std::uint64_t callCount() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
