// State that the parts of one sidecar share. Belongs to the event loop's thread.
#pragma once

#include "coordination/CallCosts.h"
#include "coordination/LocalUpstream.h"
#include "coordination/MemoryAdmission.h"
#include "coordination/OverloadController.h"
#include "coordination/RetryBudget.h"
#include "coordination/TimerService.h"
#include "coordination/UpstreamDirectory.h"
#include "coordination/UpstreamNotices.h"
#include "coordination/UpstreamRuns.h"
#include "coordination/UpstreamSelector.h"
#include "protocol/PlatformAdapter.h"
#include "protocol/SidecarSettings.h"
#include "state/LatencyHistogram.h"
#include "state/ServingConfig.h"
#include "transport/DecisionLog.h"
#include "transport/SystemClock.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Ebonystack {

/// Counters and histograms for the metrics page.
struct SidecarCounters {
    std::map<std::pair<std::string, std::string>, std::uint64_t>
        callerResponses; ///< by route and status class ("2xx")
    std::map<std::string, std::uint64_t> hopOutcomes; ///< by "answered" or the reason without a response
    std::map<std::string, std::uint64_t> refusals; ///< of callers, by result code
    std::uint64_t retries { 0 };
    std::map<std::pair<std::string, std::string>, std::uint64_t>
        repeatDecisions; ///< of the retry budget, by route and "sent" or "denied"
    std::uint64_t firstArrivals { 0 }; ///< requests sent to the upstream that were not sent to one before
    std::uint64_t repeatArrivals { 0 }; ///< requests sent to the upstream again
    double arrivalsOfRepeatedRuns { 0 }; ///< expected number of first arrivals that repeated runs caused
    std::uint64_t cancelled { 0 };
    std::map<std::string, std::uint64_t>
        resumedRequests; ///< of other nodes after a lost link, by what they were told
    std::uint64_t slowReaders { 0 }; ///< responses that their callers did not have after `slowReaderTime`
    std::map<std::string, std::uint64_t>
        slowReadersCut; ///< responses that were cut off, by "deadline" or "memory"
    std::uint64_t retainedResponsesDropped { 0 }; ///< before their time, for want of memory
    std::uint64_t tokenRequests { 0 };
    std::map<std::string, LatencyHistogram> responseTimes; ///< of delivered responses, by route
    std::map<std::string, LatencyHistogram> gateWaits; ///< by route
    std::map<std::string, LatencyHistogram> upstreamTimes; ///< of requests with a response, by route
    /// How long ago the upstream can have begun to leave when a request was sent to it, by "leaving" and
    /// "record missing".
    std::map<std::string, LatencyHistogram> sendsWhileLeaving;
};

/// The last part of a leaving node's time: other nodes send no more requests, and running requests finish.
constexpr Duration finalDrainTime = std::chrono::milliseconds(1200);

/// Share of the operator's drain time in which a leaving upstream is still sent requests.
constexpr double drainAcceptShare = 0.5;
/// A request may reach the upstream so much later than it is sent, when a connection has to be opened first.
constexpr Duration maxSendDelay = std::chrono::milliseconds(600);

/// Share of the process's memory for all messages. The rest is for the store's copy, connections, and what
/// the system holds for the process.
constexpr double messageMemoryShare = 0.6;
/// Share that the heap may keep free for the next messages.
constexpr double freeHeapShare = 0.05;

struct SidecarState {
    SidecarState(boost::asio::io_context& context, SidecarSettings given, const PlatformAdapter& platform,
        std::uint64_t seed)
        : io(context)
        , settings(std::move(given))
        , adapter(platform)
        , directory(settings.heartbeat)
        , costs(settings.service)
        , upstreamSelector(settings.dataCentre, seed)
        , memory(messageMemory(settings))
        , retryBudget({ settings.repeatRatio, settings.repeatWindow, settings.extraRepeats })
    {
    }

    Instant now() const { return clock(); }

    /// Limit on the memory for messages, in bytes.
    static std::size_t messageMemory(const SidecarSettings& settings)
    {
        return static_cast<std::size_t>(settings.memoryMegabytes * messageMemoryShare * (1 << 20));
    }

    /// In bytes.
    static std::size_t maxFreeHeap(const SidecarSettings& settings)
    {
        return static_cast<std::size_t>(settings.memoryMegabytes * freeHeapShare * (1 << 20));
    }

    boost::asio::io_context& io;
    std::function<Instant()> clock { monotonicNow }; ///< tests replace it
    SidecarSettings settings;
    const PlatformAdapter& adapter;
    TimerService timers;
    DecisionLog log;
    std::shared_ptr<const ServingIndex> config; ///< null until a configuration was received
    UpstreamDirectory directory;
    CallCosts costs;
    UpstreamSelector upstreamSelector;
    UpstreamNotices upstreamNotices;
    UpstreamRuns runs;
    MemoryAdmission memory; ///< of all messages that the node holds
    RetryBudget retryBudget;
    std::optional<Instant> shutdownDeadline; ///< set while the node is leaving; no request is open after it

    /// Called with every load report of a VM.
    void recordLoadReport(const VmId& vm, const UpstreamLoad& load, Instant at)
    {
        upstreamSelector.recordLoadReport(vm, load, at);
        if (load.notice)
            upstreamNotices.record(*load.notice, directory, at);
    }

    /// How long after the news that it is leaving an upstream is sent requests. Entry nodes that know of it
    /// have stopped by then.
    Duration drainAcceptTime() const { return fromSeconds(toSeconds(settings.drain) * drainAcceptShare); }
    DrainTimes drainTimes() const { return { drainAcceptTime(), settings.drain - maxSendDelay }; }

    bool isLeaving() const { return shutdownDeadline.has_value(); }
    /// Whether other nodes may send requests for the upstream. A leaving node accepts them until
    /// `finalDrainTime` before its end, because the fleet loses its upstream's slots when it stops.
    bool acceptsPeerRequests() const
    {
        return !shutdownDeadline || now() < *shutdownDeadline - finalDrainTime;
    }
    /// Whether a request with this deadline ends before the node does.
    bool canFinish(Instant deadline) const { return !shutdownDeadline || deadline <= *shutdownDeadline; }
    SidecarCounters counters;
};

} // namespace Ebonystack
