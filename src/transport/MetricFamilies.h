// Small builders of metric families for the pages of both daemons.
#pragma once

#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace Ebonystack {

using MetricLabels = std::vector<prometheus::ClientMetric::Label>;

/// A family without values.
prometheus::MetricFamily makeMetricFamily(std::string name, std::string help, prometheus::MetricType);
void addCounter(prometheus::MetricFamily&, MetricLabels, std::uint64_t value);
prometheus::MetricFamily makeCounter(std::string name, std::string help, std::uint64_t value);
prometheus::MetricFamily makeGauge(std::string name, std::string help, double value);

} // namespace Ebonystack
