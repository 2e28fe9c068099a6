// Load for benchmarks over kept connections: as fast as the other side answers, or at a fixed rate with
// latencies counted from the intended start of each call.
#pragma once

#include "protocol/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Ebonystack {

struct LoadResult {
    std::uint64_t answered { 0 }; ///< with status 200
    std::uint64_t failed { 0 };
    double seconds { 0 };
    std::vector<double> latencies; ///< milliseconds, in rising order

    double callsPerSecond() const { return seconds > 0 ? static_cast<double>(answered) / seconds : 0; }
    /// The latency that `share` of the calls did not exceed, in milliseconds.
    double percentile(double share) const;
};

struct LoadPlan {
    std::string address;
    RequestHead request;
    std::chrono::milliseconds time { 2000 };
    std::uint32_t connections { 1 };
    std::uint32_t threads { 1 };
    double callsPerSecond { 0 }; ///< zero: each connection calls again as soon as it has its answer
};

LoadResult runLoad(const LoadPlan&);

} // namespace Ebonystack
