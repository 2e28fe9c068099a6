// Which connections and requests of callers are given up when descriptors or memory run out.
#include "coordination/CallerEviction.h"

#include <doctest/doctest.h>

using namespace Ebonystack;

namespace {

constexpr CallerActivity fresh(CallerPhase phase) { return { phase, 0.2, 1000, 1000 }; }

} // namespace

TEST_CASE("a connection without a message is closed before one in use, and the oldest of them first")
{
    const std::vector<CallerActivity> activities { { CallerPhase::Receiving, 60, 1, 1 },
        { CallerPhase::Idle, 50, 0, 0 }, { CallerPhase::Closing, 0.1, 0, 0 },
        { CallerPhase::Closing, 0.3, 0, 0 } };
    CHECK(connectionToClose(activities) == 3);
    CHECK(connectionToClose({ activities[0], activities[1] }) == 1);
    CHECK(connectionToClose({ { CallerPhase::Idle, 1, 0, 0 }, { CallerPhase::Idle, 2, 0, 0 } }) == 1);
}

TEST_CASE("of the connections in use the slowest is closed")
{
    const CallerActivity trickles { CallerPhase::Receiving, 10, 12, 150'000 };
    const CallerActivity readsSlowly { CallerPhase::Sending, 10, 160, 4'000'000 };
    const CallerActivity sends { CallerPhase::Receiving, 10, 10'000'000, 10'000'000 };
    CHECK(connectionToClose({ sends, readsSlowly, trickles }) == 2);
    CHECK(connectionToClose({ sends, readsSlowly }) == 1);
}

TEST_CASE("a caller that has just begun and a request that is served keep their connections")
{
    CHECK_FALSE(connectionToClose({ fresh(CallerPhase::Receiving), fresh(CallerPhase::Sending),
        { CallerPhase::Serving, 100, 0, 1000 } }));
    CHECK_FALSE(connectionToClose({}));
}

TEST_CASE("the slowest callers of a phase are given up until enough is freed")
{
    const std::vector<CallerActivity> activities { { CallerPhase::Receiving, 5, 5000, 400 },
        { CallerPhase::Receiving, 5, 50, 400 }, { CallerPhase::Receiving, 5, 500, 400 },
        { CallerPhase::Receiving, 5, 5, 0 }, { CallerPhase::Sending, 5, 5, 400 },
        fresh(CallerPhase::Receiving) };
    CHECK(slowestOf(activities, CallerPhase::Receiving, 0).empty());
    CHECK(slowestOf(activities, CallerPhase::Receiving, 400) == std::vector<std::size_t> { 1 });
    CHECK(slowestOf(activities, CallerPhase::Receiving, 401) == std::vector<std::size_t> { 1, 2 });
    CHECK(slowestOf(activities, CallerPhase::Receiving, 1 << 20) == std::vector<std::size_t> { 1, 2, 0 });
    CHECK(slowestOf(activities, CallerPhase::Sending, 1) == std::vector<std::size_t> { 4 });
    CHECK(heldBySlow(activities, CallerPhase::Receiving) == 1200);
}
