// Builds all metric families for each request of the page.
#include "transport/SidecarMetrics.h"

#include "transport/MetricFamilies.h"

#include <prometheus/text_serializer.h>

namespace Ebonystack {

using prometheus::MetricFamily;
using prometheus::MetricType;

std::string writeSidecarMetrics(const SidecarState& state, const SidecarStats& stats)
{
    const SidecarCounters& counters = state.counters;
    std::vector<MetricFamily> families;
    MetricFamily answers = makeMetricFamily(
        "ebony_answers_total", "Answers of upstreams that were delivered.", MetricType::Counter);
    for (const auto& [key, count] : counters.callerResponses)
        addCounter(answers, { { "route", key.first }, { "status", key.second } }, count);
    families.push_back(std::move(answers));
    MetricFamily refusals = makeMetricFamily(
        "ebony_refusals_total", "Answers of the node's own, by result code.", MetricType::Counter);
    for (const auto& [name, count] : counters.refusals)
        addCounter(refusals, { { "code", name } }, count);
    families.push_back(std::move(refusals));
    MetricFamily hops = makeMetricFamily("ebony_upstream_requests_total",
        "Requests for the upstream beside this node, by outcome.", MetricType::Counter);
    for (const auto& [outcome, count] : counters.hopOutcomes)
        addCounter(hops, { { "outcome", outcome } }, count);
    families.push_back(std::move(hops));
    families.push_back(makeHistograms("ebony_answer_seconds",
        "Time from a caller's request to the answer of an upstream.", "route", counters.responseTimes));
    families.push_back(makeHistograms(
        "ebony_gate_wait_seconds", "Time at the gate of the upstream.", "route", counters.gateWaits));
    families.push_back(makeHistograms("ebony_upstream_seconds",
        "Time for which an answered request held a slot.", "route", counters.upstreamTimes));
    families.push_back(makeHistograms("ebony_sends_while_leaving_seconds",
        "How long ago the upstream can have begun to leave when a request was sent to it.", "state",
        counters.sendsWhileLeaving));
    families.push_back(
        makeCounter("ebony_repeats_total", "Requests sent to a second upstream.", counters.retries));
    MetricFamily arrivals = makeMetricFamily("ebony_upstream_arrivals_total",
        "Requests sent to the upstream: first attempts, and repeats of requests that reached an upstream.",
        MetricType::Counter);
    addCounter(arrivals, { { "attempt", "first" } }, counters.firstArrivals);
    addCounter(arrivals, { { "attempt", "repeat" } }, counters.repeatArrivals);
    families.push_back(std::move(arrivals));
    MetricFamily decisions = makeMetricFamily("ebony_repeat_decisions_total",
        "Repeats that the retry budget of this upstream sent or denied.", MetricType::Counter);
    for (const auto& [key, count] : counters.repeatDecisions)
        addCounter(decisions, { { "route", key.first }, { "decision", key.second } }, count);
    families.push_back(std::move(decisions));
    families.push_back(makeCounter("ebony_upstream_arrivals_of_repeated_runs_total",
        "Expected number of first attempts among them that are calls of repeated runs.",
        static_cast<std::uint64_t>(counters.arrivalsOfRepeatedRuns)));
    families.push_back(
        makeCounter("ebony_cancelled_total", "Requests whose caller left.", counters.cancelled));
    MetricFamily resumed = makeMetricFamily("ebony_resumed_requests_total",
        "Requests that other nodes asked for after a lost link, by what they were told.",
        MetricType::Counter);
    for (const auto& [outcome, count] : counters.resumedRequests)
        addCounter(resumed, { { "outcome", outcome } }, count);
    families.push_back(std::move(resumed));
    families.push_back(
        makeCounter("ebony_token_asks_total", "Requests for tokens of plans.", counters.tokenRequests));
    families.push_back(
        makeCounter("ebony_store_calls_total", "Calls to the platform's store.", stats.storeCalls));
    families.push_back(makeCounter("ebony_upstream_connections_opened_total",
        "Connections opened to the upstream.", stats.upstreamConnectionsOpened));
    families.push_back(makeCounter("ebony_stray_responses_total",
        "Responses of the upstream that were skipped because they belong to no request under way.",
        stats.strayResponses));
    families.push_back(
        makeGauge("ebony_gate_running", "Requests that run at the upstream.", stats.load.gate.running));
    families.push_back(
        makeGauge("ebony_gate_queued", "Requests that wait for the upstream.", stats.load.gate.queued));
    families.push_back(
        makeGauge("ebony_gate_limit", "Requests that may run at once.", stats.load.gate.limit));
    families.push_back(makeGauge("ebony_shed_share", "Share of the demand to refuse.", stats.load.shedShare));
    const UpstreamNotice notice = stats.load.notice.value_or(UpstreamNotice {});
    if (notice.requestsPerSecond)
        families.push_back(makeGauge("ebony_upstream_request_limit",
            "Requests a second that the upstream takes, while it names a limit.", *notice.requestsPerSecond));
    families.push_back(makeGauge(
        "ebony_upstream_leaving", "1 while the upstream says that it is leaving.", notice.leaving ? 1 : 0));
    families.push_back(makeGauge(
        "ebony_hold_seconds", "Mean time for which a slot is held.", toSeconds(stats.load.meanServiceTime)));
    families.push_back(makeGauge(
        "ebony_caller_connections", "Connections of callers.", static_cast<double>(stats.callerConnections)));
    families.push_back(
        makeGauge("ebony_slow_readers", "Callers that have not had their response for over a second.",
            static_cast<double>(stats.slowReaders.count)));
    families.push_back(
        makeGauge("ebony_unread_response_bytes", "Bytes of responses that callers do not have yet.",
            static_cast<double>(stats.slowReaders.unreadBytes)));
    families.push_back(makeCounter("ebony_slow_readers_total",
        "Responses that their callers did not have within a second.", counters.slowReaders));
    MetricFamily cut = makeMetricFamily("ebony_slow_readers_cut_total",
        "Responses that were cut off because they were read too slowly.", MetricType::Counter);
    for (const auto& [cause, count] : counters.slowReadersCut)
        addCounter(cut, { { "cause", cause } }, count);
    families.push_back(std::move(cut));
    families.push_back(makeGauge("ebony_message_bytes", "Bytes held for messages, each counted once.",
        static_cast<double>(state.memory.budget().heldBytes())));
    families.push_back(makeGauge("ebony_message_bytes_limit", "Limit on the bytes held for messages.",
        static_cast<double>(state.memory.limit())));
    MetricFamily memoryRefusals = makeMetricFamily("ebony_memory_refusals_total",
        "Messages that were not received, or not read for a while, for want of memory.", MetricType::Counter);
    for (const MemoryUse use : { MemoryUse::CallerRequest, MemoryUse::PeerRequest, MemoryUse::Response })
        addCounter(memoryRefusals, { { "use", std::string(describe(use)) } }, state.memory.refusals(use));
    families.push_back(std::move(memoryRefusals));
    families.push_back(makeCounter("ebony_retained_responses_dropped_total",
        "Responses kept in case an entry node asks that were dropped early for want of memory.",
        counters.retainedResponsesDropped));
    families.push_back(makeGauge("ebony_upstream_connections", "Connections to the upstream.",
        static_cast<double>(stats.upstreamConnections)));
    families.push_back(
        makeGauge("ebony_links_up", "Links to other nodes that work.", static_cast<double>(stats.linksUp)));
    families.push_back(makeGauge(
        "ebony_open_calls", "Requests of callers under way.", static_cast<double>(stats.openCalls)));
    families.push_back(makeGauge(
        "ebony_open_hops", "Requests for the upstream under way.", static_cast<double>(stats.openHops)));
    families.push_back(makeGauge("ebony_store_revision", "Changes of the store known up to.",
        static_cast<double>(stats.storeRevision)));
    families.push_back(makeGauge("ebony_store_era", "Era of the store to which the revision belongs.",
        static_cast<double>(stats.storeEra)));
    if (stats.storeSilence)
        families.push_back(makeGauge("ebony_store_silence_seconds",
            "Time since the store's last response to this node.", toSeconds(*stats.storeSilence)));
    families.push_back(makeGauge("ebony_config_version", "Version of the configuration in force.",
        state.config ? static_cast<double>(state.config->config().version) : 0));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace Ebonystack
