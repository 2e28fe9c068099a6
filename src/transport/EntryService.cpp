// Processes each call in steps: preparation, token, admission, dispatch, and the response or refusal.
#include "transport/EntryService.h"

#include "coordination/EntryAdmission.h"
#include "coordination/RetryAfterPolicy.h"
#include "coordination/ServiceSplit.h"
#include "transport/CallerDeadline.h"
#include "transport/TokenClient.h"

#include <algorithm>
#include <array>
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

/// Approximate time that a response which the upstream sends at the deadline takes to arrive here.
constexpr Duration responseTransitTime = 70ms;
/// How long a request waits when no VM is reachable: upstream records and links usually recover within it.
constexpr Duration maxVmWait = 250ms;
constexpr Duration vmWaitInterval = 25ms;
/// Limit on the dispatches of one request: retries, and dispatches after a node rejected it without running
/// it.
constexpr int maxDispatches = 4;
/// Limit on the offers of one request that upstreams reject.
constexpr int maxOffers = 16;
/// Before an upstream that rejected the request is offered it again; it grows by this with each offer.
constexpr Duration offerPause = 10ms;
constexpr Duration maxOfferPause = 50ms;
/// Share of the remaining target latency that a request may wait at a gate, see maxGateWait. Values from 0.15
/// to 0.25 yield the most worth under overload.
constexpr double gateWaitShare = 0.2;
constexpr double nestedGateWaitShare = 0.4;
/// Trees of the same worth get values that differ by up to this factor, at random. When repeats suffice for a
/// part of them, all calls of the same trees get them.
constexpr double treeValueSpread = 0.3;
/// The repeat share of the first attempt of a repeated run's call. Below 1, so that the call counts toward
/// the retry budget but isn't rejected when that is spent: its run would have been for nothing.
constexpr double maxInducedRepeatShare = 0.99;
/// Retry-After when the node is starting or leaving, or when no VM could run the request.
constexpr Duration shortRetryAfter = 300ms;
/// Gate rank of nested calls. They go before callers' requests because work on their request has started.
constexpr int nestedCallRank = -1;
/// Gate ranks order requests by the route's priority first and then by the team's.
constexpr int ranksPerRoutePriority = 16;
/// Shed shares below this are not logged.
constexpr double minLoggedShare = 0.01;
constexpr Duration shedSharesLogPeriod = 1s;
/// For routes without a target latency.
constexpr Duration defaultTargetLatency = 1s;

std::string secondsText(Duration duration)
{
    std::array<char, 32> text {};
    const auto length = std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

class EntryService::Internals : public std::enable_shared_from_this<Internals> {
public:
    using Call = EntryCall;
    using CallPtr = EntryCallPtr;

    Internals(SidecarState& sharedState, NodeTransport& nodeTransport, std::uint64_t seed)
        : state(sharedState)
        , transport(nodeTransport)
        , random(seed + 2)
        , admission(seed + 1)
        , retryAfterPolicy(seed)
        , tokenClient(std::make_shared<TokenClient>(sharedState, nodeTransport, seed + 3))
    {
    }

    const FieldNames& names() const { return state.adapter.fieldNames(); }

    // Preparing a call.

    CallId begin(HttpRequest request, Respond respond, Duration readingTime)
    {
        auto call = std::make_shared<Call>();
        call->id = nextCallId++;
        call->readAt = state.now();
        call->receivedAt = call->readAt - readingTime;
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
            return notRunRefusal(
                ResultCode::NodeStarting, "the node has no configuration yet", shortRetryAfter);
        if (call.requestId.empty())
            return notRunRefusal(
                ResultCode::RequestMalformed, "the request lacks the field " + names().requestId);
        const HttpFields& fields = call.request.head.fields;
        call.route
            = call.config->findRoute(fields.find("Host").value_or(""), pathOf(call.request.head.target));
        if (!call.route)
            return notRunRefusal(ResultCode::RouteUnknown, "no route matches the request's host and path");
        if (auto refusal = authenticate(call))
            return refusal;
        const auto callerRemainingTime = readCallerDeadline(fields, names().deadline);
        setDeadline(call, callerRemainingTime);
        if (!state.canFinish(call.deadline + responseTransitTime))
            return boundRetryAfter(call,
                notRunRefusal(ResultCode::NodeLeaving, "the node shuts down before the request's deadline",
                    shortRetryAfter));
        call.service = serviceSplit.next(*call.route);
        prepareUpstreamFields(call);
        if (call.isNested)
            attributeCall(call, callerRemainingTime.value_or(longestCallTime(nullptr)));
        else
            call.treeValue = worthOf(demandClassOf(call)) / state.costs.maxReportedArrivals(call.route->id)
                * (1 + treeValueSpread * random.uniform());
        return std::nullopt;
    }

    /// Takes what is known of a nested call from the run that makes it.
    void attributeCall(Call& call, Duration remainingTime)
    {
        call.parent = state.runs.startCall(call.route->id, call.receivedAt + remainingTime);
        const UpstreamRun* parent = state.runs.find(call.parent);
        if (!parent) {
            call.repeatShare = state.costs.recordCall(call.route->id);
            return;
        }
        call.repeatShare = std::min(parent->repeatShare, maxInducedRepeatShare);
        call.treeValue = parent->treeValue;
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
        return key
            ? notRunRefusal(ResultCode::KeyUnknown, "no team has the request's API key")
            : notRunRefusal(ResultCode::KeyMissing, "the route requires an API key, the request has none");
    }

    std::optional<std::string_view> keyOf(const HttpFields& fields) const
    {
        auto value = fields.find(names().apiKey);
        const std::string& scheme = names().apiKeyScheme;
        if (!value || value->size() <= scheme.size()
            || !sameFieldName(value->substr(0, scheme.size()), scheme))
            return std::nullopt;
        value->remove_prefix(scheme.size());
        while (!value->empty() && value->front() == ' ')
            value->remove_prefix(1);
        return value;
    }

    void setDeadline(Call& call, const std::optional<Duration>& callerRemainingTime)
    {
        const RouteConfig& route = *call.route;
        const Duration timeout = longestCallTime(&route);
        call.deadline = call.receivedAt + std::min(timeout, callerRemainingTime.value_or(timeout));
        if (callerRemainingTime && !call.isNested)
            call.isCallerRetry
                = retryAfterPolicy.detectCallerRetry(route.id, targetLatencyOf(route), *callerRemainingTime);
    }

    /// Removes hop-by-hop and reserved fields, and adds this node's service and the caller's team.
    void prepareUpstreamFields(Call& call)
    {
        HttpFields& fields = call.request.head.fields;
        removeHopByHopFields(fields);
        const std::array reservedNames { &names().deadline, &names().team, &names().expectedInstance,
            &names().callerService, &names().apiKey, &names().notRun, &names().instance, &names().load,
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
        tokenClient->take(*call->config->findTeam(*call->team),
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

    /// Returns an open call, or null when it has ended. The pointer stays valid after the call is removed.
    CallPtr find(CallId id) const
    {
        const auto found = calls.find(id);
        return found == calls.end() ? nullptr : found->second;
    }

    // Admission and dispatch.

    DemandClass demandClassOf(const Call& call) const
    {
        return { call.route->id, call.route->priority, call.teamPriority, call.isCallerRetry };
    }

    void admit(const CallPtr& call)
    {
        if (!call->isNested && !admission.admit(demandClassOf(*call))) {
            if (call->team)
                tokenClient->returnToken(*call->team);
            return refuse(call,
                notRunRefusal(ResultCode::ShedByWorth,
                    "shed because of overload; admitted share of its class: "
                        + std::to_string(admission.admittedShare(demandClassOf(*call))),
                    retryAfterPolicy.randomRetryAfter(refusedRequest(*call))));
        }
        dispatch(call);
    }

    static Duration targetLatencyOf(const RouteConfig& route)
    {
        return route.targetLatency > Duration::zero() ? route.targetLatency : defaultTargetLatency;
    }

    /// How long the call may wait at a gate. A caller's request that would wait longer is refused while the
    /// caller can still retry in time. A nested call may wait longer, because its request already occupies
    /// slots that a refusal would waste.
    static Duration maxGateWait(const Call& call, Instant now)
    {
        const Duration left
            = std::max(targetLatencyOf(*call.route) - (now - call.receivedAt), Duration::zero());
        return fromSeconds(toSeconds(left) * (call.isNested ? nestedGateWaitShare : gateWaitShare));
    }

    RefusedRequest refusedRequest(const Call& call) const
    {
        return { call.route->id, targetLatencyOf(*call.route), state.now() - call.receivedAt,
            call.deadline - state.now() };
    }

    /// Returns the refusal with its Retry-After limited by the caller's remaining time.
    Refusal boundRetryAfter(const Call& call, Refusal refusal) const
    {
        refusal.retryAfter = retryAfterPolicy.boundedRetryAfter(refusedRequest(call), refusal.retryAfter);
        return refusal;
    }

    std::vector<const KnownUpstream*> reachableUpstreams(const ServiceName& service) const
    {
        auto upstreams = state.directory.usable(service);
        std::erase_if(upstreams,
            [&](const KnownUpstream* upstream) { return !transport.canReach(upstream->record.vm); });
        removeLeaving(upstreams);
        return upstreams;
    }

    /// Removes the upstreams that have said that they are leaving; for the first part of the drain time only
    /// if there are others.
    void removeLeaving(std::vector<const KnownUpstream*>& upstreams) const
    {
        if (!state.upstreamNotices.knowsLeavingUpstreams())
            return;
        const auto isLeaving = [&](const KnownUpstream* upstream) {
            return state.upstreamNotices.leavingSince(upstream->record).has_value();
        };
        if (std::ranges::all_of(upstreams, isLeaving)) {
            const Instant earliest = state.now() - state.drainAcceptTime();
            std::erase_if(upstreams, [&](const KnownUpstream* upstream) {
                return state.upstreamNotices.leavingSince(upstream->record) < earliest;
            });
        } else
            std::erase_if(upstreams, isLeaving);
    }

    /// Whether an upstream has received the request, so that its next arrival is a repeat.
    static bool hasReachedUpstream(const Call& call) { return call.upstreamAttempts > 0 || call.offers > 0; }

    /// Whether the operator allows an upstream that has not received the request.
    static bool mayReachOther(const Call& call)
    {
        return call.upstreamAttempts + call.rejectingVms.size() < call.route->maxAttempts;
    }

    /// Selects an upstream that has not been tried. When no other one may receive the request, selects one of
    /// those that rejected it.
    const KnownUpstream* selectUpstream(const Call& call, Instant now)
    {
        auto upstreams = reachableUpstreams(call.service);
        if (hasReachedUpstream(call)) {
            const auto lacksRepeats = [&](const KnownUpstream* upstream) {
                return state.upstreamSelector.lacksRepeats(upstream->record.vm, now);
            };
            if (!std::ranges::all_of(upstreams, lacksRepeats))
                std::erase_if(upstreams, lacksRepeats);
        }
        if (!hasReachedUpstream(call) || mayReachOther(call)) {
            const auto* untried = state.upstreamSelector.select(upstreams, call.triedVms, now);
            if (untried || call.rejectingVms.empty())
                return untried;
        }
        std::erase_if(upstreams, [&](const KnownUpstream* upstream) {
            return std::ranges::find(call.rejectingVms, upstream->record.vm) == call.rejectingVms.end();
        });
        return state.upstreamSelector.select(upstreams, {}, now);
    }

    void dispatch(const CallPtr& call)
    {
        const Instant now = state.now();
        if (now >= call->deadline)
            return failCall(call, "the deadline passed before the request could be dispatched");
        const KnownUpstream* chosen = selectUpstream(*call, now);
        if (!chosen)
            return waitForVm(call, now);
        HopRequest request;
        request.number = nextHopNumber++;
        request.route = call->route->id;
        request.remainingTime = call->deadline - now;
        request.maxGateWait = maxGateWait(*call, now);
        request.rank = call->isNested ? nestedCallRank
                                      : call->route->priority * ranksPerRoutePriority + call->teamPriority;
        request.isRedispatch = call->dispatches > 0;
        request.repeatShare = hasReachedUpstream(*call) ? 1 : call->repeatShare;
        request.treeValue = call->treeValue;
        request.idempotent = call->route->idempotent;
        request.instance = chosen->record.instance;
        request.knownRequestLimit = state.upstreamNotices.requestLimit(request.instance);
        request.method = call->request.head.method;
        request.target = call->request.head.target;
        request.fields = call->request.head.fields;
        request.body = call->request.body;
        const VmId vm = chosen->record.vm;
        call->hopNumber = request.number;
        call->hopVm = vm;
        call->hopProcess = transport.processAt(vm).value_or(0);
        ++call->dispatches;
        callsByHop[request.number] = call->id;
        state.upstreamSelector.requestStarted(vm);
        armTimer(call);
        state.log.request("sent to upstream", call->requestId, now, [&] {
            return nlohmann::json { { "vm", vm.text }, { "instance", request.instance.text },
                { "route", call->route->id.text }, { "service", call->service.text },
                { "version", call->config->config().version }, { "inner", call->isNested },
                { "leftMs", toMilliseconds(request.remainingTime) }, { "placement", call->dispatches } };
        });
        if (!transport.sendRequest(vm, std::move(request)))
            onNotSent(call, vm);
    }

    /// The VM's node does not accept a request of this size, or its link has just ended. Tries another one.
    void onNotSent(const CallPtr& call, const VmId& vm)
    {
        callsByHop.erase(call->hopNumber);
        call->hopNumber = 0;
        state.upstreamSelector.requestEnded(vm, false, state.now());
        call->triedVms.push_back(vm);
        if (call->dispatches < maxDispatches)
            return dispatch(call);
        failCall(call, "no node accepted the request");
    }

    void waitForVm(const CallPtr& call, Instant now)
    {
        const bool mayWait = call->triedVms.empty() && now - call->readAt < maxVmWait;
        if (!mayWait)
            return failCall(call,
                call->triedVms.empty() ? "no VM of the service is reachable"
                                       : "all reachable VMs have been tried");
        scheduleStep(now + vmWaitInterval, call, &Internals::dispatch);
    }

    /// Calls `step` at `due` if the call is still open then.
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
            call->timer = scheduleStep(call->deadline + responseTransitTime, call, &Internals::onTimeout);
    }

    void onTimeout(const CallPtr& call)
    {
        call->timer.reset();
        if (call->hopNumber != 0) {
            call->mayHaveRun = true;
            cancelHop(*call);
        }
        failCall(call, "no response before the deadline");
    }

    // Responses of nodes.

    void onResponse(const VmId& vm, HopResponse response)
    {
        const Instant now = state.now();
        state.recordLoadReport(vm, response.load, now);
        const auto found = callsByHop.find(response.number);
        if (found == callsByHop.end())
            return; // the hop was cancelled or abandoned
        const CallPtr call = find(found->second);
        callsByHop.erase(found);
        if (!call)
            return;
        // The node beside the upstream checks this too; one of an earlier version does not.
        if (response.outcome == HopOutcome::Responded && !isFinalStatus(response.status)) {
            response.outcome = HopOutcome::OutcomeUnknown;
            response.reason = HopReason::ResponseInvalid;
        }
        call->hopNumber = 0;
        state.costs.updateReportedCost(call->route->id, response.costs);
        state.costs.updateReportedArrivals(call->route->id, response.arrivals);
        state.upstreamSelector.requestEnded(vm, isFailure(response), now);
        if (response.reachedUpstream && !isRejection(response))
            ++call->upstreamAttempts;
        switch (response.outcome) {
        case HopOutcome::Responded:
            return onUpstreamResponse(call, vm, std::move(response));
        case HopOutcome::NotRun:
            return onNotRun(call, vm, response);
        case HopOutcome::OutcomeUnknown:
            call->mayHaveRun = true;
            call->wasRefused = false;
            return onOutcomeUnknown(call, vm, describe(response.reason));
        }
    }

    /// Whether the upstream refused the request without running it, and may take it later.
    static bool isRejection(const HopResponse& response)
    {
        return response.outcome == HopOutcome::NotRun && response.reason == HopReason::UpstreamShed;
    }

    /// Whether the response counts as a failure of the VM in the upstream selection.
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
            call->wasRefused = response.hasRefusedCall;
            if (!call->wasRefused && mayRetry(*call)) {
                call->lastFailure = std::move(response);
                return retry(call, vm, "the upstream responded with a server error");
            }
        }
        deliver(call, std::move(response));
    }

    void onNotRun(const CallPtr& call, const VmId& vm, const HopResponse& response)
    {
        call->triedVms.push_back(vm);
        call->wasRefused = true;
        const Instant now = state.now();
        if (now < call->deadline && response.reason != HopReason::RetryBudgetSpent) {
            if (isRejection(response))
                return offerAgain(call, vm, response, now);
            if (call->dispatches < maxDispatches && (!response.reachedUpstream || mayReachOther(*call)))
                return dispatch(call);
        }
        failNotRun(call, response);
    }

    void failNotRun(const CallPtr& call, const HopResponse& response)
    {
        failCall(call, std::string("the request did not run: ") + std::string(describe(response.reason)));
    }

    /// Offers a request that an upstream rejected to another one at once, or after a pause to one that has
    /// rejected it, which may have room by then. A caller's request is offered within its target latency:
    /// after that the caller is better off with a refusal.
    void offerAgain(const CallPtr& call, const VmId& vm, const HopResponse& response, Instant now)
    {
        ++call->offers;
        if (std::ranges::find(call->rejectingVms, vm) == call->rejectingVms.end())
            call->rejectingVms.push_back(vm);
        const bool isWorthwhile = call->isNested || now < call->receivedAt + targetLatencyOf(*call->route);
        if (call->offers >= maxOffers || !isWorthwhile)
            return failNotRun(call, response);
        --call->dispatches;
        const bool hasOther = mayReachOther(*call) && hasUntriedUpstream(*call);
        if (hasOther)
            return dispatch(call);
        scheduleStep(now + std::min(offerPause * call->offers, maxOfferPause), call, &Internals::dispatch);
    }

    bool hasUntriedUpstream(const Call& call) const
    {
        return std::ranges::any_of(reachableUpstreams(call.service), [&](const KnownUpstream* upstream) {
            return std::ranges::find(call.triedVms, upstream->record.vm) == call.triedVms.end();
        });
    }

    void onOutcomeUnknown(const CallPtr& call, const VmId& vm, std::string_view reason)
    {
        if (mayRetry(*call))
            return retry(call, vm, reason);
        failCall(call, reason);
    }

    /// Whether a request that may have run can be retried at another upstream. The node beside that upstream
    /// rejects it when the retry budget is spent.
    bool mayRetry(const Call& call)
    {
        const Instant now = state.now();
        const Duration expectedServiceTime = state.costs.meanServiceTime(call.route->id, Duration::zero());
        return call.route->idempotent && call.upstreamAttempts < call.route->maxAttempts
            && call.dispatches < maxDispatches && now + expectedServiceTime < call.deadline;
    }

    void retry(const CallPtr& call, const VmId& vm, std::string_view reason)
    {
        ++state.counters.retries;
        call->retried = true;
        state.log.request("sent again", call->requestId, state.now(), [&] {
            return nlohmann::json { { "failedVm", vm.text }, { "reason", reason } };
        });
        call->triedVms.push_back(vm);
        dispatch(call);
    }

    // Ending a call.

    void deliver(const CallPtr& call, HopResponse response)
    {
        // Callers take these statuses as "not run". Without the upstream's not-run field, which would have
        // made the outcome NotRun, the request may have run.
        const bool statusImpliesNotRun = response.status == statusRequestTimeout
            || response.status == statusMisdirected || response.status == statusTooManyRequests
            || response.status == statusUnavailable;
        if (statusImpliesNotRun && !call->route->idempotent)
            return refuse(call,
                { ResultCode::OutcomeUnknown, Ran::Unknown, Duration::zero(),
                    "the request may have run: the upstream responded with status "
                        + std::to_string(response.status) });
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

    /// Ends a call that can't be served: delivers an upstream's earlier server error if there is one, else
    /// refuses with a code that tells whether the request may have run.
    void failCall(const CallPtr& call, std::string_view reason)
    {
        if (call->lastFailure)
            return deliver(call, std::move(*call->lastFailure));
        const bool deadlinePassed = state.now() >= call->deadline;
        if (!call->mayHaveRun)
            return refuse(call,
                boundRetryAfter(*call,
                    notRunRefusal(deadlinePassed ? ResultCode::DeadlineTooNear : ResultCode::NoVmAvailable,
                        std::string(reason), shortRetryAfter)));
        refuse(call,
            { deadlinePassed ? ResultCode::DeadlineExceeded : ResultCode::OutcomeUnknown, Ran::Unknown,
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
        call->wasRefused = call->wasRefused && callerResponse.head.status >= statusFirstServerError;
        removeCall(*call);
        call->respond(std::move(callerResponse));
    }

    void removeCall(const Call& call)
    {
        if (call.timer)
            state.timers.cancel(*call.timer);
        if (call.isNested)
            state.runs.endCall(call.parent, call.wasRefused, state.now());
        calls.erase(call.id);
    }

    void cancelHop(Call& call)
    {
        callsByHop.erase(call.hopNumber);
        state.upstreamSelector.requestEnded(call.hopVm, false, state.now());
        transport.sendCancel(call.hopVm, call.hopNumber);
        call.hopNumber = 0;
    }

    void cancel(CallId id)
    {
        const CallPtr call = find(id);
        if (!call)
            return;
        ++state.counters.cancelled;
        call->wasRefused = false;
        state.log.request("caller gone", call->requestId, state.now(), [&] {
            return nlohmann::json { { "tookMs", toMilliseconds(state.now() - call->receivedAt) },
                { "vm", call->hopVm.text } };
        });
        if (call->hopNumber != 0)
            cancelHop(*call);
        removeCall(*call);
    }

    // Links.

    std::vector<CallPtr> callsOnVm(const VmId& vm) const
    {
        std::vector<CallPtr> found;
        for (const auto& [id, call] : calls) {
            if (call->hopNumber != 0 && call->hopVm == vm)
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

    void onLinkUp(const VmId& vm, std::uint64_t process)
    {
        const std::vector<CallPtr> open = callsOnVm(vm);
        std::vector<std::uint64_t> hopNumbers;
        for (const CallPtr& call : open) {
            if (call->hopProcess == process)
                hopNumbers.push_back(call->hopNumber);
            else
                abandonHop(call, vm, "the node process of the VM has restarted");
        }
        if (!open.empty()) {
            state.log.state("requests open on a new link", state.now(), [&] {
                return nlohmann::json { { "vm", vm.text }, { "resumed", hopNumbers.size() },
                    { "abandoned", open.size() - hopNumbers.size() } };
            });
        }
        transport.sendResume(vm, { hopNumbers, process });
    }

    void onResponseDiscarded(const VmId& vm, std::uint64_t number)
    {
        const auto found = callsByHop.find(number);
        const CallPtr call = found == callsByHop.end() ? nullptr : find(found->second);
        if (call)
            abandonHop(call, vm, "there was no memory for the response");
    }

    void abandonHop(const CallPtr& call, const VmId& vm, std::string_view reason)
    {
        callsByHop.erase(call->hopNumber);
        call->hopNumber = 0;
        ++call->upstreamAttempts;
        call->mayHaveRun = true;
        state.upstreamSelector.requestEnded(vm, true, state.now());
        onOutcomeUnknown(call, vm, reason);
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
    RandomSource random;
    EntryAdmission admission;
    RetryAfterPolicy retryAfterPolicy;
    ServiceSplit serviceSplit;
    std::shared_ptr<TokenClient> tokenClient;
    std::unordered_map<CallId, CallPtr> calls;
    std::unordered_map<std::uint64_t, CallId> callsByHop; // by number of the hop request at a node
    CallId nextCallId { 1 };
    std::uint64_t nextHopNumber { 1 };
    bool isShedding { false }; // when the shares were last logged
    Instant shedSharesLoggedAt;
};

EntryService::EntryService(SidecarState& state, NodeTransport& transport, std::uint64_t seed)
    : m_internals(std::make_shared<Internals>(state, transport, seed))
{
}

EntryService::~EntryService() = default;

CallId EntryService::begin(HttpRequest request, Respond respond, Duration readingTime)
{
    return m_internals->begin(std::move(request), std::move(respond), readingTime);
}

void EntryService::cancel(CallId id) { m_internals->cancel(id); }

void EntryService::onResponse(const VmId& vm, HopResponse response)
{
    m_internals->onResponse(vm, std::move(response));
}

void EntryService::onResponseDiscarded(const VmId& vm, std::uint64_t number)
{
    m_internals->onResponseDiscarded(vm, number);
}

void EntryService::onLinkUp(const VmId& vm, std::uint64_t process) { m_internals->onLinkUp(vm, process); }

void EntryService::onLinkDown(const VmId& vm) { m_internals->onLinkDown(vm); }

void EntryService::onTokenResponse(const TokenResponse& response)
{
    m_internals->tokenClient->onTokenResponse(response);
}

void EntryService::updateAdmittedShares(Instant now) { m_internals->updateAdmittedShares(now); }

std::set<VmId> EntryService::awaitedVms() const
{
    std::set<VmId> vms;
    for (const auto& [id, call] : m_internals->calls) {
        if (call->hopNumber != 0)
            vms.insert(call->hopVm);
    }
    return vms;
}

std::size_t EntryService::openCount() const { return m_internals->calls.size(); }

} // namespace Ebonystack
