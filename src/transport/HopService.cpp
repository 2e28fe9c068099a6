// Keeps one job per request. A job waits at the gate, runs at the upstream and ends with a response.
#include "transport/HopService.h"

#include "coordination/DroppedRecords.h"
#include "coordination/LocalUpstream.h"
#include "coordination/RetainedResponses.h"
#include "coordination/RetryMonitor.h"
#include "coordination/SlotGate.h"
#include "coordination/ValueRationing.h"
#include "protocol/UpstreamNoticeDecoder.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t statusMisdirected = 421;
constexpr std::uint16_t statusOkFirst = 200;
constexpr std::uint16_t statusOkLast = 299;
constexpr std::uint16_t statusFirstServerError = 500;
/// For routes that have not run here yet.
constexpr Duration defaultServiceTime = 60ms;
/// Share of the remaining time that a request may wait at the gate, so that it can finish once it starts.
constexpr double gateWaitShare = 0.6;
/// A request that is sent with less remaining time can't be completed before its deadline.
constexpr Duration minTimeToRun = 5ms;
/// How long after its deadline a request without a response is given up. An upstream stops work at the
/// deadline and says so; one that can't queue a request may say nothing at all, also to later requests on the
/// connection.
constexpr Duration noResponseTimeout = 250ms;
/// How long an entry node has to resume its requests after its link is lost.
constexpr Duration resumeTimeout = 1200ms;
/// How long responses to non-idempotent requests are kept: one may have been lost with a failing link.
/// Longer, until the deadline, if the link has failed and is not up again.
constexpr Duration responseRetention = 5s;
/// Share of the memory for messages that these responses may have.
constexpr double retainedMemoryShare = 0.25;
/// How long after its deadline the record of a non-idempotent request is kept. Later its outcome is unknown.
constexpr Duration outcomeRetention = 60s;
constexpr Duration serviceObservationPeriod = 250ms;
/// Time for which the repeats that are left should last, see RationedSupply.
constexpr Duration shortestRetryHorizon = 1500ms;
constexpr Duration longestRetryHorizon = 10s;
/// How long after a failed connection the reported load says that the upstream accepts no requests.
constexpr Duration upstreamDownTime = 700ms;

} // namespace

class HopService::Internals : public std::enable_shared_from_this<Internals> {
public:
    struct Job {
        HopOrigin origin;
        HopRequest request;
        Instant arrivedAt;
        Instant startedAt;
        Instant sentAt; // to the upstream
        Instant attemptedAt; // when the retry budget counted the last attempt
        Instant deadline;
        GateTicket ticket { 0 };
        ExchangeId exchange { 0 }; // 0 while it waits at the gate
        RunId run { 0 }; // 0 unless it runs at the upstream
        std::uint64_t connection { 0 }; // see UpstreamResult::connection
        std::optional<TimerId> timeout; // set while it runs at the upstream
        bool reachedUpstream { false }; // the request was sent to the upstream
        bool resent { false }; // on another connection
        bool cancelled { false }; // non-idempotent: runs to its end, its response is not sent
        std::string id; // request id set by the caller, for logs
        bool ended { false };
        std::optional<HopResponse> response; // of an ended non-idempotent job, see responseRetention
        std::uint64_t retention { 0 }; // id among the retained responses, while it has one
        bool mayBeUndelivered { false }; // the response: the link was lost, and the request not resumed since
    };
    using JobPtr = std::shared_ptr<Job>;
    using JobKey = std::pair<HopOrigin, std::uint64_t>;

    Internals(SidecarState& sharedState, UpstreamTransport& transport, Reply deliver)
        : state(sharedState)
        , upstream(transport)
        , reply(std::move(deliver))
        , retained(static_cast<std::size_t>(static_cast<double>(state.memory.limit()) * retainedMemoryShare))
    {
    }

    const FieldNames& names() const { return state.adapter.fieldNames(); }

    UpstreamLoad load(Instant now) const
    {
        const bool acceptsRequests = state.acceptsPeerRequests() && now >= upstreamDownUntil
            && !localUpstream.isLeaving() && !localUpstream.isDraining();
        return { gate.state(), overloadController.shedShare(), gate.meanServiceTime(), acceptsRequests,
            localUpstream.notice(), retryMonitor.load() };
    }

    void request(const HopOrigin& origin, HopRequest request)
    {
        const Instant now = state.now();
        auto job = std::make_shared<Job>();
        job->origin = origin;
        job->arrivedAt = now;
        job->deadline = now + request.remainingTime;
        job->ticket = nextTicket++;
        job->id = request.fields.find(names().requestId).value_or("");
        job->request = std::move(request);
        jobs[{ origin, job->request.number }] = job;
        ++openJobs;
        if (localUpstream.hasDrained(state.drainTimes(), now))
            return finishNotRun(job, HopReason::UpstreamDraining);
        if (!state.canFinish(job->deadline))
            return finishNotRun(job, HopReason::NodeLeaving);
        const Duration expectedServiceTime
            = state.costs.meanServiceTime(job->request.route, defaultServiceTime);
        const Instant latestStart = job->deadline - expectedServiceTime;
        const Duration maxWait = fromSeconds(toSeconds(job->request.remainingTime) * gateWaitShare);
        const Instant maxWaitEnd = now + std::min(maxWait, job->request.maxGateWait);
        if (job->request.knownRequestLimit
            && localUpstream.adoptRequestLimit(*job->request.knownRequestLimit))
            applyRequestLimit(now);
        if (isRepeat(*job) && !takeRepeat(*job, now))
            return finishNotRun(job, HopReason::RetryBudgetSpent);
        if (!job->request.isRedispatch)
            ++arrivals;
        const GateDecision decision
            = gate.arrive({ job->ticket, job->request.rank, std::min(latestStart, maxWaitEnd) }, now);
        if (decision == GateDecision::Refused)
            return finishNotRun(job, HopReason::GateFull);
        waiting[job->ticket] = job;
        if (decision == GateDecision::Run)
            startJob(job->ticket, now);
    }

    /// The probability that the last arrival of the job's request at the upstream is a repeat.
    static double repeatShareOf(const Job& job) { return job.resent ? 1 : job.request.repeatShare; }
    static bool isRepeat(const Job& job) { return repeatShareOf(job) >= 1; }

    /// Takes a repeat from the retry budget; false when it is spent.
    bool takeRepeat(Job& job, Instant now)
    {
        const RouteId& route = job.request.route;
        const bool isGranted = job.request.treeValue <= 0 || repeatRationing.admit(job.request.treeValue);
        const bool taken
            = isGranted && state.retryBudget.takeRepeat(route, state.costs.maxCallsPerRun(route, 1), now);
        ++state.counters.repeatDecisions[{ route.text, taken ? "sent" : "denied" }];
        if (taken)
            job.attemptedAt = now;
        return taken;
    }

    /// Tells the retry budget how many requests all upstreams of the service get.
    void observeService(Instant now)
    {
        if (now < serviceObservedAt + serviceObservationPeriod)
            return;
        serviceObservedAt = now;
        const auto upstreams = state.directory.usable(state.settings.service);
        state.retryBudget.recordServiceRequests(
            state.upstreamSelector.requestsPerSecond(upstreams, now), now);
    }

    /// Returns the repeat of a job that ends before it was sent to the upstream.
    void returnRepeat(const Job& job)
    {
        if (isRepeat(job) && job.attemptedAt >= job.arrivedAt)
            state.retryBudget.returnRepeat(job.request.route, job.attemptedAt);
    }

    /// Why a request that has a slot can't be sent to the upstream any more.
    HopReason obstacleToStart(const Job& job, Instant now) const
    {
        if (job.deadline - now < minTimeToRun)
            return HopReason::TooLate;
        return localUpstream.hasDrained(state.drainTimes(), now) ? HopReason::UpstreamDraining
                                                                 : HopReason::None;
    }

    void startJob(GateTicket ticket, Instant now)
    {
        const auto found = waiting.find(ticket);
        const JobPtr job = found->second;
        waiting.erase(found);
        job->startedAt = now;
        state.costs.requestStarted(job->request.route, job->request.repeatShare);
        if (const HopReason obstacle = obstacleToStart(*job, now); obstacle != HopReason::None) {
            state.costs.requestEnded(job->request.route, Duration::zero(), false, job->request.repeatShare);
            startJobs(gate.depart(Duration::zero(), now), now);
            return finishNotRun(job, obstacle);
        }
        job->timeout = state.timers.at(job->deadline + noResponseTimeout,
            [weak = weak_from_this(), weakJob = std::weak_ptr<Job>(job)](Instant at) {
                const auto self = weak.lock();
                const JobPtr unanswered = weakJob.lock();
                if (self && unanswered)
                    self->onNoResponse(unanswered, at);
            });
        job->run = state.runs.start({ job->request.route, job->deadline, job->request.treeValue,
            job->request.repeatShare, {}, false });
        send(job, now);
    }

    /// Closes the connection of a request without a response: the upstream may ignore later requests on it.
    void onNoResponse(const JobPtr& job, Instant now)
    {
        job->timeout.reset();
        upstream.abort(job->exchange);
        job->reachedUpstream = true;
        HopResponse response;
        response.reason = HopReason::NoResponse;
        response.reachedUpstream = true;
        endAtUpstream(job, std::move(response), now);
    }

    /// Releases the job's slot and ends the job.
    void endAtUpstream(const JobPtr& job, HopResponse response, Instant now)
    {
        const bool failed = response.status >= statusFirstServerError;
        response.hasRefusedCall = releaseSlot(job, response.outcome != HopOutcome::NotRun, failed, now);
        if (response.reachedUpstream)
            retryMonitor.recordArrival(response.reason == HopReason::UpstreamShed);
        finish(job, std::move(response));
    }

    /// Returns whether a nested call of the job was refused.
    bool releaseSlot(const JobPtr& job, bool hasRun, bool failed, Instant now)
    {
        if (job->timeout)
            state.timers.cancel(*job->timeout);
        job->timeout.reset();
        const auto run = state.runs.end(job->run, failed, now);
        const bool hasRefusedCall = run && run->hasRefusedCall;
        const Duration serviceTime = now - job->startedAt;
        const bool isComplete = hasRun && !hasRefusedCall;
        state.costs.requestEnded(job->request.route, serviceTime, isComplete, repeatShareOf(*job));
        if (run && isComplete)
            state.costs.recordCalls(job->request.route, run->calls);
        startJobs(gate.depart(serviceTime, now), now);
        return hasRefusedCall;
    }

    void startJobs(const std::vector<GateTicket>& tickets, Instant now)
    {
        for (const GateTicket ticket : tickets)
            startJob(ticket, now);
    }

    void send(const JobPtr& job, Instant now)
    {
        const HopRequest& request = job->request;
        countArrival(*job, now);
        observeLateSend(*job, now);
        job->sentAt = now;
        RequestHead head;
        head.method = request.method;
        head.target = request.target;
        head.fields = request.fields;
        head.fields.add(names().deadline, std::to_string(toMilliseconds(job->deadline - now)));
        if (!request.instance.empty())
            head.fields.add(names().expectedInstance, request.instance.text);
        Body body = request.body;
        if (!request.idempotent)
            job->request.body = {}; // never sent again
        job->exchange = upstream.send({ writeRequestHead(head, body.size()), body, job->id,
                                          request.method == "HEAD", request.idempotent },
            [weak = weak_from_this(), job](UpstreamResult result) {
                if (const auto self = weak.lock())
                    self->onResult(job, std::move(result));
            });
    }

    void removeRecord(Instant now)
    {
        const auto& record = localUpstream.record();
        const auto removed = record ? state.directory.removalOf(record->instance) : std::nullopt;
        localUpstream.removeRecord(removed.value_or(ChangeTime(now, std::nullopt)));
        recordRemoved.reset();
    }

    /// Records a request that is sent to an upstream that is known to leave, or whose record is missing.
    void observeLateSend(const Job& job, Instant now)
    {
        const auto leaving = localUpstream.leavingSince();
        const auto since = leaving ? leaving : recordRemoved;
        if (!since)
            return;
        const Duration known = now - since->heardAt;
        const auto age = since->madeAfter ? std::optional(now - *since->madeAfter) : std::nullopt;
        state.counters.sendsWhileLeaving[leaving ? "leaving" : "record missing"].add(age.value_or(known));
        state.log.failure("sent to a leaving upstream", job.id, now, [&] {
            return nlohmann::json { { "recordMissing", !leaving }, { "knownMs", toMilliseconds(known) },
                { "atMostMs", age ? nlohmann::json(toMilliseconds(*age)) : nlohmann::json() } };
        });
    }

    void countArrival(Job& job, Instant now)
    {
        if (isRepeat(job)) {
            ++state.counters.repeatArrivals;
            return;
        }
        ++state.counters.firstArrivals;
        retryMonitor.recordRequest();
        job.attemptedAt = now;
        state.retryBudget.recordFirstAttempt(job.request.route, job.request.repeatShare, now);
        state.counters.arrivalsOfRepeatedRuns += job.request.repeatShare;
    }

    void onResult(const JobPtr& job, UpstreamResult result)
    {
        const Instant now = state.now();
        job->connection = result.connection;
        if (result.kind != UpstreamResult::Kind::NotConnected)
            job->reachedUpstream = true;
        if (mayResend(*job, result, now)) {
            state.costs.requestRepeated(job->request.route, repeatShareOf(*job));
            state.runs.recordRepeat(job->run);
            job->resent = true;
            ++state.counters.retries;
            state.log.request("sent again to the upstream", job->id, now, [&] {
                return nlohmann::json { { "reason",
                    "a reused connection was lost before any byte of a response" } };
            });
            return send(job, now);
        }
        HopResponse response = makeResponse(*job, std::move(result), now);
        if (response.outcome == HopOutcome::NotRun)
            recordNotRun(*job);
        endAtUpstream(job, std::move(response), now);
    }

    /// Corrects the retry budget for a request that the upstream rejected or that did not reach it.
    void recordNotRun(const Job& job)
    {
        if (!job.reachedUpstream && isRepeat(job))
            return returnRepeat(job);
        state.retryBudget.recordNotRun(job.request.route, repeatShareOf(job), job.attemptedAt);
    }

    /// Whether a request that was lost on a reused connection is sent again on another. Takes a repeat from
    /// the retry budget.
    bool mayResend(Job& job, const UpstreamResult& result, Instant now)
    {
        return result.kind == UpstreamResult::Kind::Lost && result.nothingReceived && result.reused
            && !job.resent && job.request.idempotent && obstacleToStart(job, now) == HopReason::None
            && gate.startAgain(now) && takeRepeat(job, now);
    }

    HopResponse makeResponse(const Job& job, UpstreamResult result, Instant now)
    {
        HopResponse response;
        response.reachedUpstream = job.reachedUpstream;
        switch (result.kind) {
        case UpstreamResult::Kind::NotConnected:
            upstreamDownUntil = now + upstreamDownTime;
            response.outcome = job.resent ? HopOutcome::OutcomeUnknown : HopOutcome::NotRun;
            response.reason = HopReason::UpstreamDown;
            return response;
        case UpstreamResult::Kind::Lost:
            response.reason = HopReason::ConnectionLost;
            return response;
        case UpstreamResult::Kind::Invalid:
            response.reason = HopReason::ResponseInvalid;
            return response;
        case UpstreamResult::Kind::Responded:
            break;
        }
        const ResponseHead& head = result.response.head;
        if (head.status != statusMisdirected)
            readNotice(head.fields, job, now);
        const bool hasNotRunField = head.fields.find(names().notRun).has_value();
        if (hasNotRunField || head.status == statusMisdirected) {
            const bool mayHaveRunBefore = job.resent && !job.request.idempotent;
            response.outcome = mayHaveRunBefore ? HopOutcome::OutcomeUnknown : HopOutcome::NotRun;
            response.reason
                = head.status == statusMisdirected ? HopReason::WrongInstance : HopReason::UpstreamShed;
            return response;
        }
        if (!isValidResponse(head)) {
            response.reason = HopReason::ResponseInvalid;
            return response;
        }
        response.outcome = HopOutcome::Responded;
        response.status = head.status;
        response.fields = std::move(result.response.head.fields);
        removeHopByHopFields(response.fields);
        response.body = std::move(result.response.body);
        return response;
    }

    void readNotice(const HttpFields& fields, const Job& job, Instant now)
    {
        const auto notice = decodeUpstreamNotice(fields, names());
        if (!notice)
            return state.log.state("upstream notice not usable", now, [&] {
                return nlohmann::json { { "reason", notice.error() } };
            });
        if (!localUpstream.onResponse(*notice, job.sentAt, now))
            return;
        applyRequestLimit(now);
        state.log.state("upstream notice", now, [&] {
            return nlohmann::json { { "requestsPerSecond", localUpstream.requestLimit().value_or(-1) },
                { "leaving", localUpstream.isLeaving() } };
        });
    }

    void applyRequestLimit(Instant now)
    {
        startJobs(gate.setRequestLimit(localUpstream.requestLimit(), now), now);
    }

    /// Whether the response is the upstream's own: upstreams put their seal field on each success response
    /// and never encode bodies unasked.
    bool isValidResponse(const ResponseHead& head) const
    {
        const bool isSuccess = head.status >= statusOkFirst && head.status <= statusOkLast;
        if (!isSuccess)
            return true;
        return head.fields.find(names().seal) && !head.fields.find("Content-Encoding");
    }

    void refuse(const HopOrigin& origin, std::uint64_t number)
    {
        const Instant now = state.now();
        HopResponse response;
        response.number = number;
        response.outcome = HopOutcome::NotRun;
        response.reason = HopReason::GateFull; // nodes of the version before know no reason for memory
        response.load = load(now);
        ++state.counters.hopOutcomes["no memory"];
        state.log.failure("no memory for a request", "", now, [&] {
            return nlohmann::json { { "entry", origin.vm.text },
                { "heldBytes", state.memory.budget().heldBytes() }, { "limit", state.memory.limit() } };
        });
        reply(origin, std::move(response));
    }

    void finishNotRun(const JobPtr& job, HopReason reason)
    {
        HopResponse response;
        response.outcome = HopOutcome::NotRun;
        response.reason = reason;
        response.reachedUpstream = job->reachedUpstream;
        if (!job->reachedUpstream)
            returnRepeat(*job);
        finish(job, std::move(response));
    }

    void finish(const JobPtr& job, HopResponse response)
    {
        const Instant now = state.now();
        response.number = job->request.number;
        response.load = load(now);
        response.costs = state.costs.localCost(job->request.route);
        response.arrivals = state.costs.localArrivals(job->request.route);
        const bool started = job->startedAt >= job->arrivedAt;
        response.gateWait = (started ? job->startedAt : now) - job->arrivedAt;
        state.counters.gateWaits[job->request.route.text].add(response.gateWait);
        if (response.outcome == HopOutcome::Responded)
            state.counters.upstreamTimes[job->request.route.text].add(now - job->startedAt);
        ++state.counters.hopOutcomes[response.outcome == HopOutcome::Responded
                ? "answered"
                : std::string(describe(response.reason))];
        const auto fields = [&] {
            return nlohmann::json { { "entry", job->origin.vm.text }, { "route", job->request.route.text },
                { "status", response.status }, { "reason", describe(response.reason) },
                { "arrived", response.reachedUpstream }, { "connection", job->connection },
                { "rank", job->request.rank }, { "repeatShare", job->request.repeatShare },
                { "waitedMs", toMilliseconds(response.gateWait) },
                { "heldMs", started ? toMilliseconds(now - job->startedAt) : 0 },
                { "running", response.load.gate.running }, { "queued", response.load.gate.queued },
                { "limit", response.load.gate.limit } };
        };
        if (response.outcome == HopOutcome::Responded)
            state.log.request("upstream answered", job->id, now, fields);
        else
            state.log.failure("upstream did not answer", job->id, now, fields);
        if (!job->request.idempotent)
            retainOutcome(job, response);
        endJob(job);
        if (!job->cancelled)
            job->mayBeUndelivered = !reply(job->origin, std::move(response));
    }

    /// Keeps the outcome of a non-idempotent request for an entry node that does not receive the response.
    void retainOutcome(const JobPtr& job, const HopResponse& response)
    {
        retainResponse(job, response);
        HopRequest kept;
        kept.number = job->request.number;
        job->request = std::move(kept);
        const Instant now = state.now();
        state.timers.at(
            std::max(now, job->deadline) + outcomeRetention, [weak = weak_from_this(), job](Instant) {
                if (const auto self = weak.lock())
                    self->dropRecord(*job);
            });
    }

    void retainResponse(const JobPtr& job, const HopResponse& response)
    {
        if (!response.body.empty() && !response.body.isCounted()) {
            auto memory = std::make_shared<MemoryBudget::Reservation>(state.memory.budget());
            memory->resize(response.body.size());
            response.body.count(std::move(memory));
        }
        job->response = response;
        job->retention = ++lastRetention;
        retainedJobs[job->retention] = job;
        const auto dropped = retained.add(job->retention, response.body.size());
        state.counters.retainedResponsesDropped += dropped.size();
        dropResponses(dropped);
        state.timers.at(state.now() + responseRetention, [weak = weak_from_this(), job](Instant) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (!job->mayBeUndelivered)
                return self->releaseResponse(job->retention);
            self->state.timers.at(job->deadline, [weak, id = job->retention](Instant) {
                if (const auto service = weak.lock())
                    service->releaseResponse(id);
            });
        });
    }

    void releaseResponse(std::uint64_t retention)
    {
        retained.remove(retention);
        dropResponses({ retention });
    }

    /// Afterwards the outcomes of the requests are unknown to an entry node that asks.
    void dropResponses(const std::vector<std::uint64_t>& retentions)
    {
        for (const std::uint64_t id : retentions) {
            const auto found = retainedJobs.find(id);
            if (found == retainedJobs.end())
                continue;
            found->second->response.reset();
            retainedJobs.erase(found);
        }
    }

    void reclaimMemory(std::size_t bytes)
    {
        const auto dropped = retained.reclaim(bytes);
        state.counters.retainedResponsesDropped += dropped.size();
        dropResponses(dropped);
    }

    void dropRecord(const Job& job)
    {
        jobs.erase({ job.origin, job.request.number });
        droppedRecords.add(job.origin, job.request.number);
    }

    /// Ends a job. The job of a non-idempotent request that reached the upstream stays for `resume`.
    void endJob(const JobPtr& job)
    {
        if (!std::exchange(job->ended, true))
            --openJobs;
        if (job->request.idempotent || !job->reachedUpstream)
            jobs.erase({ job->origin, job->request.number });
    }

    JobPtr find(const HopOrigin& origin, std::uint64_t number) const
    {
        const auto found = jobs.find({ origin, number });
        return found == jobs.end() ? nullptr : found->second;
    }

    void cancel(const JobPtr& job)
    {
        const Instant now = state.now();
        if (job->ended || job->cancelled)
            return;
        if (waiting.erase(job->ticket) > 0) {
            gate.withdraw(job->ticket);
            returnRepeat(*job);
            endJob(job);
            return;
        }
        if (!job->request.idempotent) {
            job->cancelled = true; // not aborted: what it has done can't be undone
            return;
        }
        upstream.abort(job->exchange);
        endJob(job);
        releaseSlot(job, true, false, now);
    }

    std::vector<JobPtr> jobsOf(const HopOrigin& origin) const
    {
        std::vector<JobPtr> found;
        for (const auto& [key, job] : jobs) {
            if (key.first == origin)
                found.push_back(job);
        }
        return found;
    }

    void resume(const HopOrigin& origin, const std::vector<std::uint64_t>& numbers, bool wereSentHere)
    {
        for (const JobPtr& job : jobsOf(origin)) {
            if (std::ranges::find(numbers, job->request.number) != numbers.end())
                continue;
            job->mayBeUndelivered = false; // not awaited
            cancel(job);
        }
        std::map<std::string, std::uint64_t> outcomes;
        for (const std::uint64_t number : numbers)
            ++outcomes[std::string(resumeOne(origin, number, wereSentHere))];
        if (outcomes.empty())
            return;
        for (const auto& [outcome, count] : outcomes)
            state.counters.resumedRequests[outcome] += count;
        state.log.state("requests resumed", state.now(), [&] {
            return nlohmann::json { { "entry", origin.vm.text }, { "outcomes", outcomes } };
        });
    }

    /// Returns what the entry node is told, for the metrics.
    std::string_view resumeOne(const HopOrigin& origin, std::uint64_t number, bool wasSentHere)
    {
        const JobPtr job = find(origin, number);
        if (job && !job->ended) {
            job->cancelled = false; // it was if the link was down for longer than resumeTimeout
            job->mayBeUndelivered = false;
            return "running"; // its response is sent when it ends
        }
        if (job && job->response) {
            job->mayBeUndelivered = !reply(origin, *job->response);
            return "answered";
        }
        const bool neverArrived = !job && wasSentHere && !droppedRecords.mayInclude(origin, number);
        HopResponse response;
        response.number = number;
        response.outcome = neverArrived ? HopOutcome::NotRun : HopOutcome::OutcomeUnknown;
        response.reason = job ? HopReason::ConnectionLost : HopReason::UnknownRequest;
        response.load = load(state.now());
        reply(origin, std::move(response));
        return neverArrived ? "not run" : "outcome unknown";
    }

    void originLost(const HopOrigin& origin, bool processEnded)
    {
        const std::vector<JobPtr> lost = jobsOf(origin);
        if (lost.empty())
            return;
        for (const JobPtr& job : lost)
            job->mayBeUndelivered = !processEnded;
        const Instant lostAt = state.now();
        const auto cancelLost = [weak = weak_from_this(), lost, origin, lostAt](Instant) {
            const auto self = weak.lock();
            if (!self)
                return;
            const auto found = self->originLostAt.find(origin);
            if (found == self->originLostAt.end() || found->second != lostAt)
                return; // resumed; the link may have been lost again since
            self->originLostAt.erase(found);
            for (const JobPtr& job : lost) {
                if (self->find(origin, job->request.number) == job)
                    self->cancel(job);
            }
        };
        originLostAt[origin] = lostAt;
        if (processEnded)
            cancelLost(lostAt);
        else
            state.timers.at(lostAt + resumeTimeout, cancelLost);
    }

    SidecarState& state;
    UpstreamTransport& upstream;
    Reply reply;
    SlotGate gate;
    OverloadController overloadController;
    LocalUpstream localUpstream;
    std::optional<ChangeTime> recordRemoved; // of the upstream, while it stays in use without its record
    ValueRationing repeatRationing;
    RetryMonitor retryMonitor;
    std::map<JobKey, JobPtr> jobs; // those that wait or run, and ended non-idempotent ones that are retained
    DroppedRecords droppedRecords;
    RetainedResponses retained;
    std::unordered_map<std::uint64_t, JobPtr> retainedJobs; // by Job::retention, those with a response
    std::uint64_t lastRetention { 0 };
    std::size_t openJobs { 0 }; // jobs that wait or run
    std::unordered_map<GateTicket, JobPtr> waiting; // jobs at the gate
    std::map<HopOrigin, Instant>
        originLostAt; // origins with jobs that lost their link, until they resume or their jobs are cancelled
    std::uint32_t arrivals { 0 }; // since the last observation of the overload controller
    GateTicket nextTicket { 1 };
    Instant upstreamDownUntil;
    Instant serviceObservedAt;
    std::uint32_t slots { 0 };
};

HopService::HopService(SidecarState& state, UpstreamTransport& upstream, Reply reply)
    : m_internals(std::make_shared<Internals>(state, upstream, std::move(reply)))
{
    state.memory.addReclaim(MemoryUse::CallerRequest, [weak = std::weak_ptr(m_internals)](std::size_t bytes) {
        if (const auto internals = weak.lock())
            internals->reclaimMemory(bytes);
    });
}

HopService::~HopService() = default;

void HopService::request(const HopOrigin& origin, HopRequest request)
{
    m_internals->request(origin, std::move(request));
}

void HopService::refuse(const HopOrigin& origin, std::uint64_t number)
{
    m_internals->refuse(origin, number);
}

void HopService::cancel(const HopOrigin& origin, std::uint64_t number)
{
    if (const auto job = m_internals->find(origin, number))
        m_internals->cancel(job);
}

void HopService::resume(const HopOrigin& origin, const std::vector<std::uint64_t>& numbers, bool wereSentHere)
{
    m_internals->originLostAt.erase(origin);
    m_internals->resume(origin, numbers, wereSentHere);
}

void HopService::originLost(const HopOrigin& origin, bool processEnded)
{
    m_internals->originLost(origin, processEnded);
}

void HopService::refreshUpstream(Instant now)
{
    Internals& service = *m_internals;
    const KnownUpstream* local
        = service.state.directory.newestAtAddress(service.state.settings.upstreamAddress);
    service.state.retryBudget.setUpstreamCount(
        service.state.directory.usable(service.state.settings.service).size());
    service.state.retryBudget.removeIdleRoutes(now);
    if (!local)
        return service.removeRecord(now);
    service.localUpstream.setRecord(local->record, local->written);
    service.recordRemoved = local->removed;
    service.applyRequestLimit(now);
    if (local->record.slots != service.slots) {
        service.slots = local->record.slots;
        service.startJobs(service.gate.setSlots(service.slots, now), now);
    }
}

void HopService::tick(Instant now)
{
    Internals& service = *m_internals;
    for (const GateTicket ticket : service.gate.expire(now)) {
        const auto found = service.waiting.find(ticket);
        const auto job = found->second;
        service.waiting.erase(found);
        service.finishNotRun(job, HopReason::GateFull);
    }
    service.startJobs(service.gate.startDue(now), now);
    service.observeService(now);
    const double repeatsLeft = service.state.retryBudget.repeatsLeft(now);
    service.repeatRationing.update({ repeatsLeft, shortestRetryHorizon, longestRetryHorizon }, now);
    service.retryMonitor.update(repeatsLeft, now);
    service.overloadController.observe(
        service.gate.state(), std::exchange(service.arrivals, 0), service.gate.meanServiceTime(), now);
}

UpstreamLoad HopService::load() const { return m_internals->load(m_internals->state.now()); }

std::size_t HopService::openCount() const { return m_internals->openJobs; }

} // namespace Ebonystack
