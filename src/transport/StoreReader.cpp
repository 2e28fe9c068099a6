// One watcher per prefix. Each has its own connection, because a pending watch occupies its connection.
#include "transport/StoreReader.h"

#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"
#include "transport/SystemClock.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration connectTimeout = 700ms;
/// The store responds within a few milliseconds; a slow one takes some hundred milliseconds.
constexpr Duration listTimeout = 3s;
/// How long one watch waits for a change. Long, because each call to the store has a cost.
constexpr Duration watchWait = 25s;
constexpr Duration watchTimeoutMargin = 2s;
constexpr Duration probeWait = 1ms;
/// Backoff after failed calls, doubled with each failure up to the maximum. Jitter spreads the nodes' calls.
constexpr Duration initialBackoff = 80ms;
constexpr Duration maxBackoff = 400ms;
/// Upstreams renew their records every 1 to 2 s, and a record expires after three times that interval: no
/// record lapses in a shorter outage.
constexpr Duration minOutageForLapse = 2s;
/// Calls that fail for longer make the store unreachable. A watch that lost its connection recovers sooner.
constexpr Duration unreachableThreshold = 600ms;
/// Delay before the next watch, so that one call returns changes in quick succession: per linked node, and
/// its bounds. In a large fleet some node receives each change within a fraction of a second, and its
/// heartbeat informs the others.
constexpr Duration batchingDelayPerNode = 60ms;
constexpr Duration minBatchingDelay = 250ms;
constexpr Duration maxBatchingDelay = 3s;
/// Minimum time between two reconnects of watches that may be dead.
constexpr Duration minReconnectInterval = 2s;
constexpr std::uint64_t maxBodyBytes = 16U << 20;
constexpr std::uint16_t statusOk = 200;
constexpr std::uint16_t statusGone = 410;

} // namespace

class StoreReader::Internals : public std::enable_shared_from_this<Internals> {
public:
    struct PrefixWatcher {
        std::string prefix;
        std::shared_ptr<ByteStream> stream;
        std::optional<ResponseParser> parser; // set while a call is in flight
        std::string input;
        std::optional<TimerId> timeout; // of the call in flight, or the delay before the next call
        bool watching { false }; // the listing is complete
        std::uint64_t revision { 0 }; // all changes of this prefix up to here are known
        std::vector<StoreItem> listedItems; // from the pages received so far
        std::uint64_t listRevision { 0 }; // of the listing's first page; 0: no page yet
        int failures { 0 }; // in a row
        std::uint64_t generation { 0 }; // incremented at each step; callbacks of earlier steps do nothing
    };
    using PrefixWatcherPtr = std::shared_ptr<PrefixWatcher>;

    Internals(boost::asio::io_context& context, TimerService& service, const PlatformAdapter& platform,
        StoreMirror& storeMirror, DecisionLog& decisions, std::string storeAddress, std::uint64_t seed)
        : io(context)
        , timers(service)
        , adapter(platform)
        , mirror(storeMirror)
        , log(decisions)
        , address(std::move(storeAddress))
        , random(seed)
    {
        for (const std::string& prefix : adapter.watchedPrefixes()) {
            watchers.push_back(std::make_shared<PrefixWatcher>());
            watchers.back()->prefix = prefix;
        }
    }

    void schedule(
        const PrefixWatcherPtr& watcher, Duration delay, void (Internals::*step)(const PrefixWatcherPtr&))
    {
        cancelTimer(watcher);
        const std::uint64_t generation = ++watcher->generation;
        watcher->timeout = timers.at(
            monotonicNow() + delay, [weak = weak_from_this(), watcher, generation, step](Instant) {
                const auto self = weak.lock();
                if (!self || generation != watcher->generation)
                    return;
                watcher->timeout.reset();
                ((*self).*step)(watcher);
            });
    }

    void cancelTimer(const PrefixWatcherPtr& watcher)
    {
        if (watcher->timeout)
            timers.cancel(*watcher->timeout);
        watcher->timeout.reset();
    }

    void connect(const PrefixWatcherPtr& watcher)
    {
        const std::uint64_t generation = ++watcher->generation;
        connectStream(io, address, connectTimeout,
            [weak = weak_from_this(), watcher, generation](std::shared_ptr<ByteStream> stream) {
                const auto self = weak.lock();
                if (!self || generation != watcher->generation)
                    return;
                if (!stream)
                    return self->fail(watcher, "could not connect to the store");
                watcher->stream = std::move(stream);
                startCurrentStream(std::weak_ptr<Internals>(self), watcher, &Internals::onBytes,
                    [](Internals& reader, const PrefixWatcherPtr& lost, StreamEnd) {
                        reader.fail(lost, "the connection to the store ended");
                    });
                self->sendRequest(watcher);
            });
    }

    void sendRequest(const PrefixWatcherPtr& watcher)
    {
        if (!watcher->stream || !watcher->stream->isOpen())
            return connect(watcher);
        // After a failure the first watch returns at once, so that recovery is detected even if nothing
        // changes in the store.
        const Duration wait = watcher->failures > 0 ? probeWait : watchWait;
        const std::string target = watcher->watching
            ? adapter.watchTarget(watcher->prefix, std::max(watcher->revision, mirror.revision()), wait)
            : adapter.pageTarget(
                watcher->prefix, watcher->listedItems.empty() ? "" : watcher->listedItems.back().key);
        RequestHead head;
        head.method = "GET";
        head.target = target;
        head.fields.add("Host", address);
        watcher->parser.emplace(false, maxBodyBytes);
        watcher->input.clear();
        ++calls;
        schedule(watcher, watcher->watching ? wait + watchTimeoutMargin : listTimeout, &Internals::onTimeout);
        watcher->stream->write(writeRequest(head, {}));
    }

    void onTimeout(const PrefixWatcherPtr& watcher) { fail(watcher, "no response before the timeout"); }

    void onBytes(const PrefixWatcherPtr& watcher, std::string_view bytes)
    {
        if (!watcher->parser)
            return fail(watcher, "received bytes without a pending request");
        watcher->input.append(bytes);
        const std::size_t used = watcher->parser->feed(watcher->input);
        watcher->input.erase(0, used);
        if (watcher->parser->failed())
            return fail(watcher, "malformed HTTP response");
        if (!watcher->parser->done())
            return;
        const HttpResponse response = watcher->parser->take();
        watcher->parser.reset();
        cancelTimer(watcher);
        if (!response.head.keepAlive)
            closeStream(watcher);
        onResponse(watcher, response);
    }

    void onResponse(const PrefixWatcherPtr& watcher, const HttpResponse& response)
    {
        if (response.head.status == statusGone && watcher->watching) {
            watcher->watching = false;
            log.state("store history lost", monotonicNow(), [&] {
                return nlohmann::json { { "prefix", watcher->prefix }, { "revision", watcher->revision } };
            });
            resetListing(watcher);
            return sendRequest(watcher);
        }
        if (response.head.status != statusOk)
            return fail(watcher, "expected HTTP status 200, got " + std::to_string(response.head.status));
        const bool isApplied
            = watcher->watching ? applyChanges(watcher, response.body) : applyPage(watcher, response.body);
        if (!isApplied)
            return;
        if (watcher->failures > 0) {
            log.state("store regained", monotonicNow(), [&] {
                return nlohmann::json { { "prefix", watcher->prefix }, { "failures", watcher->failures } };
            });
        }
        watcher->failures = 0;
        lastSuccessAt = monotonicNow();
        if (failingSince && *lastSuccessAt - *failingSince >= minOutageForLapse)
            recoveredAt = lastSuccessAt;
        failingSince.reset();
        if (watcher->watching)
            schedule(watcher, fromSeconds(toSeconds(batchingDelay) * (0.5 + random.uniform() / 2)),
                &Internals::sendRequest);
        else
            sendRequest(watcher);
    }

    static void resetListing(const PrefixWatcherPtr& watcher)
    {
        watcher->listedItems.clear();
        watcher->listRevision = 0;
    }

    bool applyPage(const PrefixWatcherPtr& watcher, const std::string& body)
    {
        auto page = adapter.readPage(body);
        if (!page) {
            fail(watcher, page.error());
            return false;
        }
        if (watcher->listRevision == 0)
            watcher->listRevision = page->revision;
        const bool hasNextPage = page->hasMore && !page->items.empty();
        std::ranges::move(page->items, std::back_inserter(watcher->listedItems));
        if (hasNextPage)
            return true;
        watcher->watching = true;
        mirror.applyListing(watcher->prefix, watcher->listedItems, watcher->listRevision);
        advanceRevision(watcher, watcher->listRevision);
        resetListing(watcher);
        return true;
    }

    bool applyChanges(const PrefixWatcherPtr& watcher, const std::string& body)
    {
        const auto changes = adapter.readChanges(body);
        if (!changes) {
            fail(watcher, changes.error());
            return false;
        }
        for (const StoreItem& item : changes->items)
            mirror.apply(item);
        advanceRevision(watcher, changes->revision);
        return true;
    }

    void advanceRevision(const PrefixWatcherPtr& watcher, std::uint64_t revision)
    {
        watcher->revision = std::max(watcher->revision, revision);
        std::uint64_t minRevision = watcher->revision;
        for (const PrefixWatcherPtr& each : watchers)
            minRevision = std::min(minRevision, each->revision);
        if (minRevision > 0)
            mirror.setCompleteRevision(minRevision);
    }

    void closeStream(const PrefixWatcherPtr& watcher)
    {
        if (watcher->stream)
            watcher->stream->close();
        watcher->stream.reset();
        watcher->parser.reset();
    }

    void fail(const PrefixWatcherPtr& watcher, const std::string& reason)
    {
        closeStream(watcher);
        resetListing(watcher);
        const Instant now = monotonicNow();
        if (!failingSince)
            failingSince = now;
        if (watcher->failures++ == 0) {
            log.state("store lost", now, [&] {
                return nlohmann::json { { "prefix", watcher->prefix }, { "reason", reason },
                    { "revision", watcher->revision } };
            });
        }
        const Duration backoff = std::min(maxBackoff, initialBackoff * (1 << std::min(watcher->failures, 8)));
        schedule(
            watcher, fromSeconds(toSeconds(backoff) * (0.5 + random.uniform())), &Internals::sendRequest);
    }

    boost::asio::io_context& io;
    TimerService& timers;
    const PlatformAdapter& adapter;
    StoreMirror& mirror;
    DecisionLog& log;
    std::string address;
    RandomSource random;
    std::vector<PrefixWatcherPtr> watchers;
    std::optional<Instant> failingSince; // set while calls fail
    std::optional<Instant> recoveredAt;
    std::optional<Instant> lastSuccessAt;
    std::optional<Instant> reconnectedAt;
    Duration batchingDelay { minBatchingDelay };
    std::uint64_t calls { 0 };
};

StoreReader::StoreReader(boost::asio::io_context& io, TimerService& timers, const PlatformAdapter& adapter,
    StoreMirror& mirror, DecisionLog& log, std::string address, std::uint64_t seed)
    : m_internals(std::make_shared<Internals>(io, timers, adapter, mirror, log, std::move(address), seed))
{
}

StoreReader::~StoreReader() = default;

void StoreReader::start(Instant)
{
    for (const auto& watcher : m_internals->watchers)
        m_internals->connect(watcher);
}

void StoreReader::reconnectStaleWatches(Instant now)
{
    Internals& reader = *m_internals;
    if (reader.reconnectedAt && now - *reader.reconnectedAt < minReconnectInterval)
        return;
    reader.reconnectedAt = now;
    for (const auto& watcher : reader.watchers) {
        const bool isWaiting = watcher->watching && watcher->parser && watcher->failures == 0;
        if (!isWaiting)
            continue;
        reader.closeStream(watcher);
        reader.cancelTimer(watcher);
        reader.connect(watcher);
    }
}

void StoreReader::setAddress(std::string address) { m_internals->address = std::move(address); }

bool StoreReader::isUnreachable(Instant now) const
{
    return m_internals->failingSince && now - *m_internals->failingSince > unreachableThreshold;
}

void StoreReader::setNodeCount(std::size_t linked)
{
    m_internals->batchingDelay = std::clamp(
        batchingDelayPerNode * static_cast<Duration::rep>(linked), minBatchingDelay, maxBatchingDelay);
}

std::optional<Instant> StoreReader::recoveredAt() const { return m_internals->recoveredAt; }

std::optional<Instant> StoreReader::lastSuccessAt() const { return m_internals->lastSuccessAt; }

std::uint64_t StoreReader::callCount() const { return m_internals->calls; }

} // namespace Ebonystack
