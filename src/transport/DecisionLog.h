// The structured log of a sidecar: one line for each decision on a request and each change of the process's
// state. The volume is limited. Requests are sampled by a hash of their id, so that every node logs the same
// requests and their path can be followed. Each kind of line has a limit per second; dropped lines are
// counted.
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

    /// Logs a decision on a request if the request is sampled. `fields` is called only if the line is
    /// written.
    void request(std::string_view event, std::string_view id, Instant now, const Fields& fields);
    /// Logs a decision that explains why a request failed.
    void failure(std::string_view event, std::string_view id, Instant now, const Fields& fields);
    /// Logs a change of the process's state.
    void state(std::string_view event, Instant now, const Fields& fields);

private:
    /// Limits that lines count against. They are separate so that many failures do not displace other lines.
    enum class LineBudget : std::uint8_t {
        Requests,
        Failures,
        State,
    };
    static constexpr std::size_t lineBudgetCount = 3;

    bool mayWrite(LineBudget, Instant now);

    Instant m_secondStart; // start of the second that m_linesWritten counts
    std::array<std::uint32_t, lineBudgetCount> m_linesWritten {};
    std::uint64_t m_droppedLines { 0 };
};

} // namespace Ebonystack
