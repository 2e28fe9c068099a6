// The structured log of a sidecar: a line for each decision that touches a request or changes what the
// process believes. The volume is bounded: the same requests are chosen on every node by their id, so that a
// chosen one can be followed along its path, and failures are added up to a number of lines a second. What is
// left out is counted.
#pragma once

#include "state/Time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace Ebonystack {

/// Not thread-safe.
class DecisionLog {
public:
    using Fields = std::function<nlohmann::json()>;

    /// A decision on a request. `fields` is called only if the line is written.
    void request(std::string_view event, std::string_view id, Instant now, const Fields& fields);
    /// A decision that explains why a request failed.
    void failure(std::string_view event, std::string_view id, Instant now, const Fields& fields);
    /// A change of what the process believes.
    void state(std::string_view event, Instant now, const Fields& fields);

private:
    /// What a line counts against: failures in a flood must not crowd out the rest.
    enum class LineBudget : std::uint8_t {
        Requests,
        Failures,
        State,
    };
    static constexpr std::size_t lineBudgetCount = 3;

    bool mayWrite(LineBudget, Instant now);

    Instant m_second; // begin of the second that m_written counts
    std::array<std::uint32_t, lineBudgetCount> m_written {};
    std::uint64_t m_droppedLines { 0 };
};

} // namespace Ebonystack
