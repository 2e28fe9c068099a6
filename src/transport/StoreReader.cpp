// One connection to the store, which a pending watch occupies.
#include "transport/StoreReader.h"

#include "coordination/StoreCallTimeout.h"
#include "coordination/StoreContactTracker.h"
#include "protocol/StoreEraDecoder.h"
#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"
#include "transport/SystemClock.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <vector>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration connectTimeout = 700ms;
/// The store responds within a few milliseconds; a slow one takes some hundred milliseconds.
constexpr Duration listTimeout = 3s;
constexpr Duration recoveryWait = 1ms;
/// Backoff after failed calls, doubled with each failure up to the maximum. Jitter spreads the nodes' calls.
constexpr Duration initialBackoff = 80ms;
constexpr Duration maxBackoff = 400ms;
/// Calls that fail for longer make the store unreachable. A watch that lost its connection recovers sooner.
constexpr Duration unreachableThreshold = 600ms;
constexpr Duration probeTimeout = 1500ms;
/// How long a node that doesn't watch and learns of a new era waits for the readers' push before it lists.
constexpr Duration newEraPushWait = 500ms;
/// Minimum time between two reconnects of a watch that may be dead.
constexpr Duration minReconnectInterval = 2s;
constexpr std::uint64_t maxBodyBytes = 16U << 20;
constexpr std::uint16_t statusOk = 200;
constexpr std::uint16_t statusNotFound = 404;
constexpr std::uint16_t statusGone = 410;

} // namespace

class StoreReader::Internals : public std::enable_shared_from_this<Internals> {
public:
    enum class Call : std::uint8_t { Listing, Watch, Probe };

    /// The connection and the call in flight.
    struct Connection {
        std::shared_ptr<ByteStream> stream;
        std::optional<ResponseParser> parser; // set while a call is in flight
        std::string input;
        std::optional<TimerId> timeout; // of the call in flight, or the delay before the next call
        Call call { Call::Listing }; // the call in flight, or the last one
        StorePosition asked; // of the mirror, when the call in flight was sent
        Instant begunAt; // when the call in flight was begun, with the connection that it needs
        Instant sentAt; // when the call in flight was sent
        std::optional<Duration> watchWait; // of the watch in flight; nothing while another call is
        std::uint64_t watchedTo { 0 }; // the revision that the last watch's response names
        std::vector<StoreItem> listedItems; // from the pages received so far
        Instant listingSentAt; // when its first page was asked for
        StorePosition listPosition; // of the listing's first page; revision 0: no page yet
        int failures { 0 }; // in a row
        std::uint64_t generation { 0 }; // incremented at each step; callbacks of earlier steps do nothing
    };

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
    }

    void schedule(Duration delay, void (Internals::*step)())
    {
        cancelTimer();
        const std::uint64_t generation = ++connection->generation;
        connection->timeout
            = timers.at(monotonicNow() + delay, [weak = weak_from_this(), generation, step](Instant) {
                  const auto self = weak.lock();
                  if (!self || generation != self->connection->generation)
                      return;
                  self->connection->timeout.reset();
                  ((*self).*step)();
              });
    }

    void cancelTimer()
    {
        if (connection->timeout)
            timers.cancel(*connection->timeout);
        connection->timeout.reset();
    }

    void connect()
    {
        const std::uint64_t generation = ++connection->generation;
        connection->begunAt = monotonicNow();
        connectStream(io, address, connectTimeout,
            [weak = weak_from_this(), generation](std::shared_ptr<ByteStream> stream) {
                const auto self = weak.lock();
                if (!self || generation != self->connection->generation)
                    return;
                if (!stream)
                    return self->fail("could not connect to the store", StoreCallFailure::NoResponse);
                self->connection->stream = std::move(stream);
                startCurrentStream(
                    std::weak_ptr<Internals>(self), self->connection,
                    [](Internals& reader, const auto&, std::string_view bytes) { reader.onBytes(bytes); },
                    [](Internals& reader, const auto&, StreamEnd how) { reader.onConnectionEnd(how); });
                self->sendOnConnection();
            });
    }

    void sendRequest()
    {
        if (!connection->stream || !connection->stream->isOpen())
            return connect();
        connection->begunAt = monotonicNow();
        sendOnConnection();
    }

    void sendOnConnection()
    {
        // After a failure the first watch returns at once, so that recovery is detected even if nothing
        // changes in the store.
        const bool isRetry = connection->failures > 0;
        connection->watchWait.reset();
        connection->asked = mirror.position();
        std::string target;
        Duration timeout = listTimeout;
        connection->call = nextCall();
        if (connection->call == Call::Probe) {
            target = adapter.probeTarget();
            timeout = isRetry ? callTimeout.silentAfter(connection->failures) : probeTimeout;
        } else if (connection->call == Call::Watch) {
            const Duration wait = isRetry ? recoveryWait : plan.watchWait;
            target = adapter.watchTarget(adapter.publishedPrefix(), connection->asked.revision, wait);
            timeout = wait + callTimeout.silentAfter(connection->failures);
            connection->watchWait = wait;
        } else {
            target = adapter.pageTarget(adapter.publishedPrefix(),
                connection->listedItems.empty() ? "" : connection->listedItems.back().key);
        }
        RequestHead head;
        head.method = "GET";
        head.target = target;
        head.fields.add("Host", address);
        connection->parser.emplace(false, maxBodyBytes);
        connection->input.clear();
        ++calls;
        connection->sentAt = monotonicNow();
        schedule(timeout, &Internals::onTimeout);
        connection->stream->write(writeRequest(head, {}));
    }

    /// Whether all keys are listed, so that the next call is a watch or a probe.
    bool hasListing() const { return hasListed && !mustListAgain && seenEra <= mirror.era(); }

    Call nextCall() const
    {
        if (hasListing())
            return plan.mode == StoreMode::Probe ? Call::Probe : Call::Watch;
        const bool mayGetPush = hasListed && !mustListAgain && plan.mode == StoreMode::Probe
            && monotonicNow() - newEraSeenAt < newEraPushWait;
        return mayGetPush ? Call::Probe : Call::Listing;
    }

    std::string_view describeCall() const
    {
        constexpr std::array<std::string_view, 3> names { "listing", "watch", "probe" };
        return names.at(static_cast<std::size_t>(connection->call));
    }

    void onTimeout() { fail("no response before the timeout", StoreCallFailure::NoResponse); }

    /// The end of a connection may be the store's response to a call, but not to a watch that it has
    /// accepted.
    void onConnectionEnd(StreamEnd how)
    {
        const bool isResponse = connection->parser && connection->call != Call::Watch;
        fail("the connection to the store ended",
            how == StreamEnd::Broken ? StoreCallFailure::NoResponse
                : isResponse         ? StoreCallFailure::Rejected
                                     : StoreCallFailure::ConnectionEnded);
    }

    void onBytes(std::string_view bytes)
    {
        if (!connection->parser)
            return fail("received bytes without a pending request");
        connection->input.append(bytes);
        const std::size_t used = connection->parser->feed(connection->input);
        connection->input.erase(0, used);
        if (connection->parser->failed())
            return fail("malformed HTTP response");
        if (!connection->parser->done())
            return;
        const HttpResponse response = connection->parser->take();
        connection->parser.reset();
        cancelTimer();
        if (!response.head.keepAlive)
            closeStream();
        onResponse(response);
    }

    void onResponse(const HttpResponse& response)
    {
        const std::uint16_t status = response.head.status;
        const std::uint64_t era = eraOf(response);
        if (connection->call == Call::Probe) {
            if (status != statusOk && status != statusNotFound)
                return fail("expected HTTP status 200 or 404, got " + std::to_string(status));
            callTimeout.recordResponseTime(monotonicNow() - connection->sentAt);
            return onSuccess(true, std::nullopt);
        }
        if (era < mirror.era())
            return fail("the response is of an earlier era of the store");
        if (status == statusOk && connection->call == Call::Watch && era != connection->asked.era)
            return sendRequest(); // its revision means something else now
        if (status == statusGone && connection->call == Call::Watch) {
            mustListAgain = true;
            log.state("store history lost", monotonicNow(), [&] {
                return nlohmann::json { { "prefix", adapter.publishedPrefix() },
                    { "revision", mirror.revision() } };
            });
            resetListing();
            return sendRequest();
        }
        if (status != statusOk)
            return fail("expected HTTP status 200, got " + std::to_string(status));
        const bool isApplied = connection->call == Call::Watch ? applyChanges(response.body.view())
                                                               : applyPage(response.body.view(), era);
        if (!isApplied)
            return;
        const Duration took = monotonicNow() - connection->sentAt;
        const Duration wait = connection->watchWait.value_or(Duration::zero());
        // A peer may have passed the response's changes on before it arrived, so the mirror doesn't tell.
        const bool hasWaited
            = connection->watchWait && connection->watchedTo == connection->asked.revision && took >= wait;
        if (hasWaited || !connection->watchWait)
            callTimeout.recordResponseTime(took - wait);
        // The store can't have responded before.
        const Instant sentAfter = connection->sentAt + (hasWaited ? wait : Duration::zero());
        if (connection->call == Call::Watch)
            return onSuccess(!hasWaited, sentAfter);
        onSuccess(true, hasListing() ? std::optional(connection->listingSentAt) : std::nullopt);
    }

    /// `pauses`: the next call is made after the plan's interval, and not at once. `confirmedAt`: the store
    /// had no change then that the mirror lacks now.
    void onSuccess(bool pauses, std::optional<Instant> confirmedAt)
    {
        if (connection->failures > 0) {
            log.state("store regained", monotonicNow(), [&] {
                return nlohmann::json { { "prefix", adapter.publishedPrefix() },
                    { "failures", connection->failures } };
            });
        }
        connection->failures = 0;
        tracker.onResponse(monotonicNow());
        if (connection->call != Call::Probe && onChanges)
            onChanges();
        // Only now: what the subscriber passes on may be older.
        if (confirmedAt)
            mirror.confirm(mirror.position(), *confirmedAt);
        if (connection->call == Call::Probe && !hasListing())
            schedule(newEraPushWait, &Internals::sendRequest);
        else if (hasListing() && pauses)
            schedule(fromSeconds(toSeconds(plan.interval) * (0.5 + random.uniform() / 2)),
                &Internals::sendRequest);
        else
            sendRequest();
    }

    void resetListing()
    {
        connection->listedItems.clear();
        connection->listPosition = {};
    }

    /// The era that the response names, or the latest known if it names none that is usable.
    std::uint64_t eraOf(const HttpResponse& response)
    {
        const auto known = hasListed ? std::optional(std::max(seenEra, mirror.era())) : std::nullopt;
        const auto era = decodeStoreEra(response.head.fields, adapter.fieldNames(), known);
        if (!era) {
            log.state("store era not usable", monotonicNow(), [&] {
                return nlohmann::json { { "reason", era.error() } };
            });
            return std::max(seenEra, mirror.era());
        }
        const std::uint64_t named = era->value_or(std::max(seenEra, mirror.era()));
        if (hasListed && named > std::max(seenEra, mirror.era())) {
            newEraSeenAt = monotonicNow();
            log.state("store restored", monotonicNow(), [&] {
                return nlohmann::json { { "era", named }, { "was", mirror.era() },
                    { "revision", mirror.revision() }, { "call", describeCall() } };
            });
        }
        seenEra = std::max(seenEra, named);
        return named;
    }

    bool applyPage(std::string_view body, std::uint64_t era)
    {
        auto page = adapter.readPage(body);
        if (!page) {
            fail(page.error());
            return false;
        }
        if (connection->listPosition.revision == 0) {
            connection->listPosition = { era, page->revision };
            connection->listingSentAt = connection->sentAt;
        }
        if (connection->listPosition.era != era) {
            fail("the store was restored during the listing");
            return false;
        }
        const bool hasNextPage = page->hasMore && !page->items.empty();
        std::ranges::move(page->items, std::back_inserter(connection->listedItems));
        if (hasNextPage)
            return true;
        hasListed = true;
        mustListAgain = false;
        mirror.applyListing(adapter.publishedPrefix(), connection->listedItems, connection->listPosition);
        resetListing();
        return true;
    }

    bool applyChanges(std::string_view body)
    {
        const auto changes = adapter.readChanges(body);
        if (!changes) {
            fail(changes.error());
            return false;
        }
        for (const StoreItem& item : changes->items)
            mirror.apply(item);
        mirror.setCompleteRevision(changes->revision);
        connection->watchedTo = changes->revision;
        return true;
    }

    void closeStream()
    {
        if (connection->stream)
            connection->stream->close();
        connection->stream.reset();
        connection->parser.reset();
    }

    void fail(const std::string& reason, StoreCallFailure failure = StoreCallFailure::Rejected)
    {
        closeStream();
        resetListing();
        const Instant now = monotonicNow();
        tracker.onFailure(failure, connection->begunAt, now);
        // The connection alone may have gone silent; then a new one is the whole repair.
        const bool retriesAtOnce
            = failure == StoreCallFailure::NoResponse && connection->watchWait && connection->failures == 0;
        if (connection->failures++ == 0) {
            log.state("store lost", now, [&] {
                return nlohmann::json { { "prefix", adapter.publishedPrefix() }, { "reason", reason },
                    { "revision", mirror.revision() }, { "call", describeCall() },
                    { "silentMs",
                        toMilliseconds(now - tracker.lastResponseAt().value_or(connection->sentAt)) } };
            });
        }
        const Duration backoff
            = std::min(maxBackoff, initialBackoff * (1 << std::min(connection->failures, 8)));
        schedule(
            retriesAtOnce ? Duration::zero() : fromSeconds(toSeconds(backoff) * (0.5 + random.uniform())),
            &Internals::sendRequest);
    }

    void shortenPendingWatch()
    {
        if (!connection->parser || !connection->watchWait || *connection->watchWait <= plan.watchWait)
            return;
        connection->watchWait = plan.watchWait;
        const Instant due = connection->sentAt + plan.watchWait + callTimeout.silentAfter(0);
        schedule(std::max<Duration>(due - monotonicNow(), Duration::zero()), &Internals::onTimeout);
    }

    void reconnect()
    {
        closeStream();
        cancelTimer();
        connect();
    }

    boost::asio::io_context& io;
    TimerService& timers;
    const PlatformAdapter& adapter;
    StoreMirror& mirror;
    DecisionLog& log;
    std::string address;
    RandomSource random;
    const std::shared_ptr<Connection> connection { std::make_shared<Connection>() };
    StoreCallPlan plan; // of the next call
    StoreCallTimeout callTimeout;
    bool hasListed { false }; // all keys, at least once
    bool mustListAgain { false }; // the history after the known revision is lost
    // The latest era that the store has named. While the mirror's is earlier, the store is to be listed
    // again.
    std::uint64_t seenEra { 0 };
    Instant newEraSeenAt;
    std::function<void()> onChanges;
    StoreContactTracker tracker;
    std::optional<Instant> reconnectedAt;
    std::uint64_t calls { 0 };
};

StoreReader::StoreReader(boost::asio::io_context& io, TimerService& timers, const PlatformAdapter& adapter,
    StoreMirror& mirror, DecisionLog& log, std::string address, std::uint64_t seed)
    : m_internals(std::make_shared<Internals>(io, timers, adapter, mirror, log, std::move(address), seed))
{
}

StoreReader::~StoreReader() = default;

void StoreReader::start(Instant) { m_internals->connect(); }

void StoreReader::reconnectStaleWatch(Instant now)
{
    Internals& reader = *m_internals;
    if (reader.reconnectedAt && now - *reader.reconnectedAt < minReconnectInterval)
        return;
    reader.reconnectedAt = now;
    const bool isWaiting = reader.connection->call == Internals::Call::Watch && reader.connection->parser
        && reader.connection->failures == 0;
    if (isWaiting)
        reader.reconnect();
}

void StoreReader::subscribe(std::function<void()> onChanges)
{
    m_internals->onChanges = std::move(onChanges);
}

void StoreReader::setPlan(const StoreCallPlan& plan)
{
    Internals& reader = *m_internals;
    const bool beginsToWatch = reader.plan.mode == StoreMode::Probe && plan.mode == StoreMode::Watch;
    reader.plan = plan;
    reader.shortenPendingWatch();
    const bool isBetweenCalls
        = !reader.connection->parser && reader.connection->stream && reader.connection->failures == 0;
    if (beginsToWatch && reader.hasListing() && isBetweenCalls)
        reader.schedule(Duration::zero(), &Internals::sendRequest);
}

void StoreReader::setAddress(std::string address) { m_internals->address = std::move(address); }

bool StoreReader::isUnreachable(Instant now) const
{
    return m_internals->tracker.failingFor(now) > unreachableThreshold;
}

const StoreContact& StoreReader::contact() const { return m_internals->tracker.contact(); }

std::optional<Instant> StoreReader::lastSuccessAt() const { return m_internals->tracker.lastResponseAt(); }

std::uint64_t StoreReader::callCount() const { return m_internals->calls; }

} // namespace Ebonystack
