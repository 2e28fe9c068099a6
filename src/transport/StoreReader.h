// Reads the platform's store: lists each prefix once and then watches it for changes. Lists again if the
// store has dropped the history since the last known revision. Calls that fail or are rejected are retried
// with a jittered backoff.
#pragma once

#include "coordination/StoreMirror.h"
#include "coordination/TimerService.h"
#include "protocol/PlatformAdapter.h"
#include "state/RandomSource.h"
#include "transport/DecisionLog.h"

#include <boost/asio/io_context.hpp>
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

    void start(Instant now);
    /// Called when a peer holds changes that this reader has not received. Reopens the connections of pending
    /// watches, since they may be dead, at most once in 2 s.
    void reconnectStaleWatches(Instant now);
    void setAddress(std::string address);
    /// Sets the number of linked nodes, which pass store changes to each other. The more nodes, the longer
    /// the delay between watches, so that the fleet's total rate of calls to the store stays about the same.
    void setNodeCount(std::size_t linked);

    /// The end of the last outage that was long enough for records to lapse; nullopt before the first.
    std::optional<Instant> recoveredAt() const;
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
