// Builds counters, gauges and histograms.
#include "transport/MetricFamilies.h"

#include <limits>

namespace Ebonystack {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily makeMetricFamily(std::string name, std::string help, MetricType type)
{
    MetricFamily family;
    family.name = std::move(name);
    family.help = std::move(help);
    family.type = type;
    return family;
}

void addCounter(MetricFamily& family, MetricLabels labels, std::uint64_t value)
{
    ClientMetric metric;
    metric.label = std::move(labels);
    metric.counter.value = static_cast<double>(value);
    family.metric.push_back(std::move(metric));
}

MetricFamily makeCounter(std::string name, std::string help, std::uint64_t value)
{
    MetricFamily family = makeMetricFamily(std::move(name), std::move(help), MetricType::Counter);
    addCounter(family, {}, value);
    return family;
}

MetricFamily makeGauge(std::string name, std::string help, double value)
{
    MetricFamily family = makeMetricFamily(std::move(name), std::move(help), MetricType::Gauge);
    ClientMetric metric;
    metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
    return family;
}

prometheus::MetricFamily makeHistograms(std::string name, std::string help, const std::string& label,
    const std::map<std::string, LatencyHistogram>& histograms)
{
    prometheus::MetricFamily family
        = makeMetricFamily(std::move(name), std::move(help), prometheus::MetricType::Histogram);
    for (const auto& [value, histogram] : histograms) {
        prometheus::ClientMetric metric;
        metric.label = { { label, value } };
        std::uint64_t cumulativeCount = 0;
        for (std::size_t i = 0; i < histogram.counts().size(); ++i) {
            cumulativeCount += histogram.counts()[i];
            const double bound = i < latencyBounds.size() ? toSeconds(latencyBounds[i])
                                                          : std::numeric_limits<double>::infinity();
            metric.histogram.bucket.push_back({ cumulativeCount, bound });
        }
        metric.histogram.sample_count = cumulativeCount;
        metric.histogram.sample_sum = toSeconds(histogram.sum());
        family.metric.push_back(std::move(metric));
    }
    return family;
}

} // namespace Ebonystack
