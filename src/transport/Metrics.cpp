// Families of counters and gauges, made anew for each reading.
#include "transport/Metrics.h"

#include "transport/MetricFamilies.h"

#include <prometheus/text_serializer.h>

namespace Ebonystack {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using Labels = std::vector<ClientMetric::Label>;

void addCounts(MetricFamily& family, const AccountKey& key, const AccountCounts& counts)
{
    const auto add = [&](std::string result, std::uint64_t value) {
        addCounter(family,
            { { "team", key.team.text }, { "route", key.route.text },
                { "worth", std::to_string(key.worth.level) }, { "result", std::move(result) } },
            value);
    };
    add("admitted", counts.admitted);
    add("delivered", counts.delivered);
    add("late", counts.late);
    add("failed", counts.failed);
    add("refused", counts.refused);
    add("unknown", counts.unknown);
}

MetricFamily requests(const Account& account)
{
    MetricFamily family = makeMetricFamily(
        "ebony_requests_total", "Requests that this node admitted, and how they ended.", MetricType::Counter);
    for (const auto& [key, counts] : account.counts())
        addCounts(family, key, counts);
    return family;
}

MetricFamily turnedAway(const Account& account)
{
    MetricFamily family = makeMetricFamily(
        "ebony_turned_away_total", "Requests refused before admission.", MetricType::Counter);
    for (const auto& [code, count] : account.turnedAway())
        addCounter(family, { { "result", std::string(describe(code).name) } }, count);
    return family;
}

} // namespace

std::string writeMetrics(const NodeRuntime& runtime, const Control& control, const TransportFigures& figures)
{
    const NodeCore::Status status = runtime.core.status();
    const std::vector<MetricFamily> families {
        requests(runtime.core.account()),
        turnedAway(runtime.core.account()),
        makeGauge("ebony_upstream_in_flight", "Requests at the upstream.", status.inFlight),
        makeGauge("ebony_upstream_queued", "Requests that wait for the upstream.", status.queued),
        makeGauge("ebony_upstream_limit", "Requests that may be at the upstream.", status.limit),
        makeGauge(
            "ebony_shed_below", "Worth below which requests are refused.", status.level.shedBelow.level),
        makeGauge("ebony_ready", "1 when the node serves.", status.ready ? 1 : 0),
        makeGauge("ebony_leaving", "1 when the node takes no new work.", status.leaving ? 1 : 0),
        makeGauge("ebony_config_version", "Version of the configuration in force.",
            static_cast<double>(status.configVersion)),
        makeGauge("ebony_vm_list_version", "Version of the list of VMs in force.",
            static_cast<double>(status.vmListVersion)),
        makeGauge("ebony_active_exchanges", "Requests being served.", runtime.activeExchanges),
        makeGauge("ebony_caller_connections", "Connections of callers.", figures.callerConnections),
        makeGauge("ebony_sub_call_connections", "Connections of the upstream.", figures.subCallConnections),
        makeGauge("ebony_peer_connections", "Connections of other nodes.", figures.peerConnections),
        makeCounter("ebony_platform_reads_total", "Reads of the platform.", control.platform().reads()),
        makeCounter(
            "ebony_platform_failures_total", "Failed reads of the platform.", control.platform().failures()),
        makeCounter("ebony_peer_messages_dropped_total", "Control messages dropped from full queues.",
            control.sender().dropped()),
    };
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace Ebonystack
