// Follows the platform's store: lists each prefix once and then watches it, and lists anew when the store has
// dropped the history in between. A store that is out of reach or turns this node away is asked again after a
// jittered pause.
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
    /// What it refers to outlives the reader.
    StoreReader(boost::asio::io_context&, TimerService&, const PlatformAdapter&, StoreMirror&, DecisionLog&,
        std::string address, std::uint64_t seed);
    ~StoreReader();

    void start(Instant now);
    /// A peer holds changes that this reader has not been told of: its connections may be dead.
    void reconnectStaleWatches(Instant now);
    void setAddress(std::string address);
    /// How many nodes hear of each other's news. They take turns: the more there are, the longer each pauses
    /// between its watches, and the calls to the store stay about the same for the whole fleet.
    void setNodeCount(std::size_t linked);

    /// The end of the last outage that was long enough for entries to lapse; nothing before the first.
    std::optional<Instant> recoveredAt() const;
    /// Whether calls have been failing for longer than a hiccup.
    bool isUnreachable(Instant now) const;
    /// When a call succeeded last.
    std::optional<Instant> lastSuccessAt() const;
    std::uint64_t calls() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
