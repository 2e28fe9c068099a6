// The builders.
#include "transport/MetricFamilies.h"

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

} // namespace Ebonystack
