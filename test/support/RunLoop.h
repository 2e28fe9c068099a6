// Runs an event loop in a test until a condition holds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace Ebonystack::Testing {

/// Runs the loop until `condition` holds, for `limit` at most; returns whether it holds. `betweenSteps` is
/// called after each step, which waits for a handler for 5 ms at most.
template <typename Condition, typename BetweenSteps>
bool runUntil(boost::asio::io_context& io, Condition&& condition, std::chrono::milliseconds limit,
    BetweenSteps&& betweenSteps)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(5));
        betweenSteps();
    }
    return condition();
}

/// Waits for 1 s at most.
template <typename Condition> bool runUntil(boost::asio::io_context& io, Condition&& condition)
{
    return runUntil(io, condition, std::chrono::seconds(1), [] {});
}

} // namespace Ebonystack::Testing
