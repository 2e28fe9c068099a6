// Calls of the entry, from the caller's request to its one answer.
#include "transport/EntryService.h"

#include "coordination/EntryAdmission.h"
#include "coordination/RetryAfterPolicy.h"
#include "coordination/ServiceSplit.h"
#include "transport/TokenClient.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t statusRequestTimeout = 408;
constexpr std::uint16_t statusMisdirected = 421;
constexpr std::uint16_t statusTooManyRequests = 429;
constexpr std::uint16_t statusFirstServerError = 500;
constexpr std::uint16_t statusUnavailable = 503;

/// For requests without a deadline on routes without a timeout.
constexpr Duration maxCallTime = 60s;
/// An answer that the upstream sends at the deadline is still on its way for about this long.
constexpr Duration transitTime = 70ms;
/// Added to the operator's timeout: an answer that is about to come serves the caller better than a failure
/// at the stroke, and the operator's bound on late answers is longer.
constexpr Duration timeoutSlack = 100ms;
/// How long a request waits for a VM when there is none: entries and links come back within moments.
constexpr Duration maxVmWait = 250ms;
constexpr Duration vmWaitInterval = 25ms;
/// Placements of one request at nodes that turned it back without running it.
constexpr int maxDispatches = 4;
/// Parts of the target latency that a request may wait at a gate, see maxGateWait. By the load laboratory:
/// from 0.15 to 0.25 the overloaded scenarios are worth most (docs/MEASUREMENTS.md).
constexpr double waitShare = 0.2;
constexpr double nestedWaitShare = 0.4;
/// Advice to callers of a node that is starting, or has found no VM.
constexpr Duration shortRetryAfter = 300ms;
/// Rank of calls of upstreams at gates: the work for their request is already under way.
constexpr int nestedCallRank = -1;
/// Ranks of requests order by the route's priority first and then by the team's.
constexpr int ranksPerRoutePriority = 16;
/// Shares of a service's demand below this are not worth a log line.
constexpr double minLoggedShare = 0.01;
constexpr Duration shedSharesLogPeriod = 1s;
/// For routes that state no target latency.
constexpr Duration assumedTargetLatency = 1s;

std::string secondsText(Duration duration)
{
    std::array<char, 32> text {};
    const auto length = std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return { text.data(), static_cast<std::size_t>(length) };
}

std::optional<Duration> readDeadline(const HttpFields& fields, const std::string& name)
{
    const auto value = fields.find(name);
    std::uint64_t milliseconds = 0;
    if (!value)
        return std::nullopt;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), milliseconds);
    if (error != std::errc() || milliseconds > static_cast<std::uint64_t>(toMilliseconds(maxCallTime)) * 60)
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

} // namespace

class EntryService::Internals : public std::enable_shared_from_this<Internals> {
public:
    using Call = EntryCall;
    using CallPtr = EntryCallPtr;

    Internals(SidecarState& shared, NodeTransport& nodeTransport, std::uint64_t seed)
        : state(shared)
        , transport(nodeTransport)
        , admission(seed + 1)
        , retryAfterPolicy(seed)
        , tokens(std::make_shared<TokenClient>(shared, nodeTransport))
    {
    }

    const FieldNames& names() const { return state.adapter.fieldNames(); }

    // Taking a request in.

    CallId begin(HttpRequest request, Respond respond)
    {
        auto call = std::make_shared<Call>();
        call->id = nextCall++;
        call->receivedAt = state.now();
        call->request = std::move(request);
        call->respond = std::move(respond);
        call->requestId = call->request.head.fields.find(names().requestId).value_or("");
        calls[call->id] = call;
        if (const auto refusal = prepare(*call))
            refuse(call, *refusal);
        else if (call->team && !call->isNested)
            takeToken(call);
        else
            admit(call);
        return call->id;
    }

    std::optional<Refusal> prepare(Call& call)
    {
        call.config = state.config;
        if (!call.config)
            return notRunRefusal(ResultCode::NodeStarting, "no configuration yet", shortRetryAfter);
        if (call.requestId.empty())
            return notRunRefusal(ResultCode::RequestMalformed, "the request has no " + names().requestId);
        const HttpFields& fields = call.request.head.fields;
        call.route
            = call.config->findRoute(fields.find("Host").value_or(""), pathOf(call.request.head.target));
        if (!call.route)
            return notRunRefusal(ResultCode::RouteUnknown, "no route has this host and path");
        if (auto refusal = authenticate(call))
            return refusal;
        setDeadline(call);
        if (!state.canFinish(call.deadline + transitTime))
            return boundRetryAfter(call,
                notRunRefusal(
                    ResultCode::NodeLeaving, "the node ends before the request would", shortRetryAfter));
        call.service = split.next(*call.route);
        setFields(call);
        if (call.isNested)
            state.costs.recordCall(call.route->id);
        return std::nullopt;
    }

    std::optional<Refusal> authenticate(Call& call)
    {
        const auto key = keyOf(call.request.head.fields);
        const TeamConfig* team = key ? call.config->findTeamByKey(*key) : nullptr;
        if (team) {
            call.team = team->id;
            call.teamPriority = team->priority.value_or(0);
            return std::nullopt;
        }
        call.isNested = call.config->config().hasTeams && call.route->isPublic;
        if (call.isNested || !call.config->config().hasTeams)
            return std::nullopt;
        return key ? notRunRefusal(ResultCode::KeyUnknown, "no team holds this key")
                   : notRunRefusal(ResultCode::KeyMissing, "the route needs a key");
    }

    std::optional<std::string_view> keyOf(const HttpFields& fields) const
    {
        auto value = fields.find(names().key);
        const std::string& scheme = names().keyScheme;
        if (!value || value->size() <= scheme.size()
            || !sameFieldName(value->substr(0, scheme.size()), scheme))
            return std::nullopt;
        value->remove_prefix(scheme.size());
        while (!value->empty() && value->front() == ' ')
            value->remove_prefix(1);
        return value;
    }

    void setDeadline(Call& call)
    {
        const RouteConfig& route = *call.route;
        const Duration timeout
            = route.timeout > Duration::zero() ? route.timeout + timeoutSlack : maxCallTime;
        const auto callerRemainingTime = readDeadline(call.request.head.fields, names().deadline);
        call.deadline = call.receivedAt + std::min(timeout, callerRemainingTime.value_or(timeout));
        if (callerRemainingTime && !call.isNested)
            call.isCallerRetry
                = retryAfterPolicy.detectCallerRetry(route.id, targetOf(route), *callerRemainingTime);
    }

    /// Leaves of the caller's fields what the upstream is to get, and adds the node's own.
    void setFields(Call& call)
    {
        HttpFields& fields = call.request.head.fields;
        removeHopByHopFields(fields);
        const std::array reservedNames { &names().deadline, &names().team, &names().expectedInstance,
            &names().callerService, &names().key, &names().notRun, &names().instance, &names().load,
            &names().seal };
        fields.removeIf([&](const HttpField& field) {
            return std::ranges::any_of(
                reservedNames, [&](const auto* name) { return sameFieldName(field.name, *name); });
        });
        fields.add(names().callerService, state.settings.service.text);
        if (call.team)
            fields.add(names().team, call.team->text);
    }

    void takeToken(const CallPtr& call)
    {
        tokens->take(*call->config->findTeam(*call->team),
            [weak = weak_from_this(), id = call->id](const std::optional<Refusal>& refusal) {
                const auto self = weak.lock();
                const CallPtr waiting = self ? self->find(id) : nullptr;
                if (!waiting)
                    return;
                if (refusal)
                    self->refuse(waiting, self->boundRetryAfter(*waiting, *refusal));
                else
                    self->admit(waiting);
            });
    }

    /// An open call; null when it has ended. It stays valid while its end removes it from the table.
    CallPtr find(CallId id) const
    {
        const auto found = calls.find(id);
        return found == calls.end() ? nullptr : found->second;
    }

    // Admission and placement.

    DemandClass classOf(const Call& call) const
    {
        return { call.route->id, call.route->priority, call.teamPriority, call.isCallerRetry };
    }

    void admit(const CallPtr& call)
    {
        if (!call->isNested && !admission.admit(classOf(*call))) {
            if (call->team)
                tokens->giveBack(*call->team);
            return refuse(call,
                notRunRefusal(ResultCode::ShedByWorth,
                    "admitted share " + std::to_string(admission.admittedShare(classOf(*call))),
                    retryAfterPolicy.randomRetryAfter(refusedRequest(*call))));
        }
        dispatch(call);
    }

    static Duration targetOf(const RouteConfig& route)
    {
        return route.targetLatency > Duration::zero() ? route.targetLatency : assumedTargetLatency;
    }

    /// How long the call should wait at a gate. A request that waits longer is better refused while its
    /// caller can still return in time; an inner call's request has slots already that would be wasted.
    static Duration maxGateWait(const Call& call, Instant now)
    {
        const Duration left = std::max(targetOf(*call.route) - (now - call.receivedAt), Duration::zero());
        return fromSeconds(toSeconds(left) * (call.isNested ? nestedWaitShare : waitShare));
    }

    RefusedRequest refusedRequest(const Call& call) const
    {
        return { call.route->id, targetOf(*call.route), state.now() - call.receivedAt,
            call.deadline - state.now() };
    }

    /// The refusal with its advice cut to the time that the caller has left.
    Refusal boundRetryAfter(const Call& call, Refusal refusal) const
    {
        refusal.retryAfter = retryAfterPolicy.boundedRetryAfter(refusedRequest(call), refusal.retryAfter);
        return refusal;
    }

    std::vector<const KnownUpstream*> reachable(const ServiceName& service) const
    {
        auto upstreams = state.directory.usable(service);
        std::erase_if(upstreams,
            [&](const KnownUpstream* upstream) { return !transport.canReach(upstream->record.vm); });
        return upstreams;
    }

    void dispatch(const CallPtr& call)
    {
        const Instant now = state.now();
        if (now >= call->deadline)
            return giveUp(call, "the time was over before it could be placed");
        const KnownUpstream* chosen
            = state.upstreamSelector.select(reachable(call->service), call->tried, now);
        if (!chosen)
            return waitForVm(call, now);
        HopRequest request;
        request.number = nextHop++;
        request.route = call->route->id;
        request.remainingTime = call->deadline - now;
        request.maxGateWait = maxGateWait(*call, now);
        request.rank = call->isNested ? nestedCallRank
                                      : call->route->priority * ranksPerRoutePriority + call->teamPriority;
        request.isRedispatch = call->dispatches > 0;
        request.idempotent = call->route->idempotent;
        request.instance = chosen->record.instance;
        request.method = call->request.head.method;
        request.target = call->request.head.target;
        request.fields = call->request.head.fields;
        request.body = call->request.body;
        const VmId vm = chosen->record.vm;
        call->hop = request.number;
        call->hopVm = vm;
        ++call->dispatches;
        hops[request.number] = call->id;
        if (call->upstreamAttempts == 0)
            state.retryBudget.recordFirstAttempt(call->service, now);
        state.upstreamSelector.requestStarted(vm);
        armTimer(call);
        state.log.request("sent to upstream", call->requestId, now, [&] {
            return nlohmann::json { { "vm", vm.text }, { "instance", request.instance.text },
                { "route", call->route->id.text }, { "service", call->service.text },
                { "version", call->config->config().version }, { "inner", call->isNested },
                { "leftMs", toMilliseconds(request.remainingTime) }, { "placement", call->dispatches } };
        });
        transport.sendRequest(vm, std::move(request));
    }

    void waitForVm(const CallPtr& call, Instant now)
    {
        const bool mayWait = call->tried.empty() && now - call->receivedAt < maxVmWait;
        if (!mayWait)
            return giveUp(
                call, call->tried.empty() ? "no VM of the service can be reached" : "no other VM is left");
        scheduleStep(now + vmWaitInterval, call, &Internals::dispatch);
    }

    /// Calls `step` at a moment if the call is still open then.
    TimerId scheduleStep(Instant due, const CallPtr& call, void (Internals::*step)(const CallPtr&))
    {
        return state.timers.at(due, [weak = weak_from_this(), id = call->id, step](Instant) {
            const auto self = weak.lock();
            const CallPtr open = self ? self->find(id) : nullptr;
            if (open)
                (self.get()->*step)(open);
        });
    }

    void armTimer(const CallPtr& call)
    {
        if (!call->timer)
            call->timer = scheduleStep(call->deadline + transitTime, call, &Internals::onTimeout);
    }

    void onTimeout(const CallPtr& call)
    {
        call->timer.reset();
        if (call->hop != 0) {
            call->mayHaveRun = true;
            cancelHop(*call);
        }
        giveUp(call, "no answer within the time");
    }

    // What comes back.

    void onResponse(const VmId& vm, HopResponse response)
    {
        const Instant now = state.now();
        state.upstreamSelector.observe(vm, response.load, now);
        const auto hop = hops.find(response.number);
        if (hop == hops.end())
            return; // given up before
        const CallPtr call = find(hop->second);
        hops.erase(hop);
        if (!call)
            return;
        call->hop = 0;
        state.costs.updateReportedCost(call->route->id, response.costs);
        state.upstreamSelector.requestEnded(vm, isFailure(response), now);
        if (response.reachedUpstream)
            ++call->upstreamAttempts;
        switch (response.outcome) {
        case HopOutcome::Responded:
            return onUpstreamResponse(call, vm, std::move(response));
        case HopOutcome::NotRun:
            return onNotRun(call, vm, response);
        case HopOutcome::OutcomeUnknown:
            call->mayHaveRun = true;
            return onBroken(call, vm, describe(response.reason));
        }
    }

    /// Whether an answer speaks against the upstream.
    static bool isFailure(const HopResponse& response)
    {
        if (response.outcome == HopOutcome::Responded)
            return response.status >= statusFirstServerError;
        return response.outcome == HopOutcome::OutcomeUnknown || response.reason == HopReason::UpstreamShed
            || response.reason == HopReason::UpstreamDown || response.reason == HopReason::WrongInstance;
    }

    void onUpstreamResponse(const CallPtr& call, const VmId& vm, HopResponse response)
    {
        const bool failed = response.status >= statusFirstServerError;
        if (failed) {
            call->mayHaveRun = true;
            if (mayRetry(*call)) {
                call->lastFailure = std::move(response);
                return retry(call, vm, "the upstream failed");
            }
        }
        deliver(call, std::move(response));
    }

    void onNotRun(const CallPtr& call, const VmId& vm, const HopResponse& response)
    {
        call->tried.push_back(vm);
        const Instant now = state.now();
        const bool inTime = now < call->deadline && call->dispatches < maxDispatches;
        // An upstream that turned the request away has seen it, and the next one would see it again.
        const bool allowed = !response.reachedUpstream
            || (call->upstreamAttempts < call->route->maxAttempts
                && state.retryBudget.spend(call->service, now));
        if (inTime && allowed)
            return dispatch(call);
        giveUp(call, std::string("not run: ") + std::string(describe(response.reason)));
    }

    void onBroken(const CallPtr& call, const VmId& vm, std::string_view reason)
    {
        if (mayRetry(*call))
            return retry(call, vm, reason);
        giveUp(call, reason);
    }

    /// Whether the request may go to a second upstream after it may have run at one; takes it from the
    /// budget.
    bool mayRetry(const Call& call)
    {
        const Instant now = state.now();
        const Duration expectedServiceTime = state.costs.meanServiceTime(call.route->id, Duration::zero());
        return call.route->idempotent && call.upstreamAttempts < call.route->maxAttempts
            && call.dispatches < maxDispatches && now + expectedServiceTime < call.deadline
            && state.retryBudget.spend(call.service, now);
    }

    void retry(const CallPtr& call, const VmId& vm, std::string_view reason)
    {
        ++state.counters.retries;
        call->retried = true;
        state.log.request("sent again", call->requestId, state.now(), [&] {
            return nlohmann::json { { "failedVm", vm.text }, { "reason", reason } };
        });
        call->tried.push_back(vm);
        dispatch(call);
    }

    // Ending a call.

    void deliver(const CallPtr& call, HopResponse response)
    {
        // Statuses that promise "not run" are a promise only with the upstream's own mark, which these lack.
        const bool claimsNotRun = response.status == statusRequestTimeout
            || response.status == statusMisdirected || response.status == statusTooManyRequests
            || response.status == statusUnavailable;
        if (claimsNotRun && !call->route->idempotent)
            return refuse(call,
                { ResultCode::OutcomeUnknown, Ran::Unknown, Duration::zero(),
                    "the upstream answered " + std::to_string(response.status) });
        HttpResponse callerResponse;
        callerResponse.head.status = response.status;
        callerResponse.head.fields = std::move(response.fields);
        callerResponse.body = std::move(response.body);
        state.counters.responseTimes[call->route->id.text].add(state.now() - call->receivedAt);
        ++state.counters
              .callerResponses[{ call->route->id.text, std::to_string(response.status / 100) + "xx" }];
        state.log.request("delivered", call->requestId, state.now(), [&] {
            return nlohmann::json { { "status", response.status }, { "vm", call->hopVm.text },
                { "tookMs", toMilliseconds(state.now() - call->receivedAt) }, { "repeated", call->retried } };
        });
        end(call, std::move(callerResponse));
    }

    /// Ends a call that can't be served, with the answer that is true.
    void giveUp(const CallPtr& call, std::string_view reason)
    {
        if (call->lastFailure)
            return deliver(call, std::move(*call->lastFailure));
        const bool late = state.now() >= call->deadline;
        if (!call->mayHaveRun)
            return refuse(call,
                boundRetryAfter(*call,
                    notRunRefusal(late ? ResultCode::DeadlineTooNear : ResultCode::NoVmAvailable,
                        std::string(reason), shortRetryAfter)));
        refuse(call,
            { late ? ResultCode::DeadlineExceeded : ResultCode::OutcomeUnknown, Ran::Unknown,
                Duration::zero(), std::string(reason) });
    }

    void refuse(const CallPtr& call, const Refusal& refusal)
    {
        const ResultCodeInfo& info = describe(refusal.code);
        HttpResponse callerResponse;
        callerResponse.head.status = info.httpStatus;
        if (!call->requestId.empty())
            callerResponse.head.fields.add(names().requestId, call->requestId);
        callerResponse.head.fields.add("Ebony-Result", std::to_string(static_cast<int>(refusal.code)));
        if (refusal.retryAfter > Duration::zero())
            callerResponse.head.fields.add("Retry-After", secondsText(refusal.retryAfter));
        ++state.counters.refusals[std::string(info.name)];
        state.log.failure("refused", call->requestId, state.now(), [&] {
            return nlohmann::json { { "code", static_cast<int>(refusal.code) }, { "name", info.name },
                { "ran", describe(refusal.ran) }, { "explanation", refusal.explanation },
                { "route", call->route ? call->route->id.text : "" }, { "service", call->service.text },
                { "team", call->team ? call->team->text : "" }, { "inner", call->isNested },
                { "returning", call->isCallerRetry }, { "vm", call->hopVm.text },
                { "version", call->config ? call->config->config().version : 0 },
                { "retryAfterMs", toMilliseconds(refusal.retryAfter) },
                { "tookMs", toMilliseconds(state.now() - call->receivedAt) } };
        });
        end(call, std::move(callerResponse));
    }

    void end(const CallPtr& call, HttpResponse callerResponse)
    {
        removeCall(*call);
        call->respond(std::move(callerResponse));
    }

    void removeCall(const Call& call)
    {
        if (call.timer)
            state.timers.cancel(*call.timer);
        calls.erase(call.id);
    }

    void cancelHop(Call& call)
    {
        hops.erase(call.hop);
        state.upstreamSelector.requestEnded(call.hopVm, false, state.now());
        transport.sendCancel(call.hopVm, call.hop);
        call.hop = 0;
    }

    void cancel(CallId id)
    {
        const CallPtr call = find(id);
        if (!call)
            return;
        ++state.counters.cancelled;
        state.log.request("caller gone", call->requestId, state.now(), [&] {
            return nlohmann::json { { "tookMs", toMilliseconds(state.now() - call->receivedAt) },
                { "vm", call->hopVm.text } };
        });
        if (call->hop != 0)
            cancelHop(*call);
        removeCall(*call);
    }

    // Links.

    std::vector<CallPtr> callsOnVm(const VmId& vm) const
    {
        std::vector<CallPtr> found;
        for (const auto& [id, call] : calls) {
            if (call->hop != 0 && call->hopVm == vm)
                found.push_back(call);
        }
        return found;
    }

    void onLinkDown(const VmId& vm)
    {
        for (const CallPtr& call : callsOnVm(vm)) {
            if (call->route->idempotent)
                abandonHop(call, vm, "the link to the VM was lost");
        }
    }

    void onLinkUp(const VmId& vm, bool sameProcess)
    {
        std::vector<std::uint64_t> numbers;
        for (const CallPtr& call : callsOnVm(vm)) {
            if (sameProcess)
                numbers.push_back(call->hop);
            else
                abandonHop(call, vm, "the node of the VM has ended");
        }
        transport.sendResume(vm, numbers);
    }

    void abandonHop(const CallPtr& call, const VmId& vm, std::string_view reason)
    {
        hops.erase(call->hop);
        call->hop = 0;
        ++call->upstreamAttempts;
        call->mayHaveRun = true;
        state.upstreamSelector.requestEnded(vm, true, state.now());
        onBroken(call, vm, reason);
    }

    void updateAdmittedShares(Instant now)
    {
        ShedShares shares;
        std::set<ServiceName> services;
        if (state.config) {
            for (const RouteConfig& route : state.config->config().routes) {
                for (const ServiceShare& share : route.shares)
                    services.insert(share.service);
            }
        }
        for (const ServiceName& service : services)
            shares[service] = state.upstreamSelector.shedShare(state.directory.usable(service), now);
        admission.updateAdmittedShares(shares, state.costs, now);
        logShedShares(shares, now);
    }

    /// Logs the shares when shedding begins or ends, and once a second in between.
    void logShedShares(const ShedShares& shares, Instant now)
    {
        nlohmann::json shed = nlohmann::json::object();
        for (const auto& [service, share] : shares) {
            if (share >= minLoggedShare)
                shed[service.text] = share;
        }
        const bool sheds = !shed.empty();
        if (sheds == isShedding && !(sheds && now - shedSharesLoggedAt >= shedSharesLogPeriod))
            return;
        isShedding = sheds;
        shedSharesLoggedAt = now;
        state.log.state("admission plan", now, [&] { return nlohmann::json { { "shed", shed } }; });
    }

    SidecarState& state;
    NodeTransport& transport;
    EntryAdmission admission;
    RetryAfterPolicy retryAfterPolicy;
    ServiceSplit split;
    std::shared_ptr<TokenClient> tokens;
    std::unordered_map<CallId, CallPtr> calls;
    std::unordered_map<std::uint64_t, CallId> hops; // attempts under way
    CallId nextCall { 1 };
    std::uint64_t nextHop { 1 };
    bool isShedding { false }; // as last logged
    Instant shedSharesLoggedAt;
};

EntryService::EntryService(SidecarState& state, NodeTransport& transport, std::uint64_t seed)
    : m_internals(std::make_shared<Internals>(state, transport, seed))
{
}

EntryService::~EntryService() = default;

CallId EntryService::begin(HttpRequest request, Respond respond)
{
    return m_internals->begin(std::move(request), std::move(respond));
}

void EntryService::cancel(CallId id) { m_internals->cancel(id); }

void EntryService::onResponse(const VmId& vm, HopResponse response)
{
    m_internals->onResponse(vm, std::move(response));
}

void EntryService::onLinkUp(const VmId& vm, bool sameProcess) { m_internals->onLinkUp(vm, sameProcess); }

void EntryService::onLinkDown(const VmId& vm) { m_internals->onLinkDown(vm); }

void EntryService::onTokenResponse(const TokenResponse& response)
{
    m_internals->tokens->onTokenResponse(response);
}

void EntryService::updateAdmittedShares(Instant now) { m_internals->updateAdmittedShares(now); }

std::size_t EntryService::openCount() const { return m_internals->calls.size(); }

} // namespace Ebonystack
