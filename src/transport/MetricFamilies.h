// Functions that build Prometheus metric families for the metrics page.
#pragma once

#include "state/LatencyHistogram.h"

#include <map>
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

/// Builds one histogram, in seconds, for each value of `label`; the map's keys are the values.
prometheus::MetricFamily makeHistograms(std::string name, std::string help, const std::string& label,
    const std::map<std::string, LatencyHistogram>&);

} // namespace Ebonystack
