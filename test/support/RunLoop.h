// Runs an event loop in a test until something has happened.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace Ebonystack::Testing {

/// Runs the loop until `condition` holds, for `limit` at most; returns whether it does. `betweenSteps` is
/// called now and then.
template <typename Condition, typename Between>
bool runUntil(
    boost::asio::io_context& io, Condition&& condition, std::chrono::seconds limit, Between&& betweenSteps)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(5));
        betweenSteps();
    }
    return condition();
}

template <typename Condition> bool runUntil(boost::asio::io_context& io, Condition&& condition)
{
    return runUntil(io, condition, std::chrono::seconds(1), [] {});
}

} // namespace Ebonystack::Testing
