// Which messages are received when there is little memory, and what is given up for them.
#include "coordination/LongRequestQueue.h"
#include "coordination/MemoryAdmission.h"
#include "coordination/RetainedResponses.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 100U << 20;
constexpr std::size_t longBytes = 40U << 20;
constexpr Instant start { 100s };

} // namespace

TEST_CASE("a long request of a caller leaves room for one of another node, and both for a response")
{
    MemoryAdmission memory(limit);
    MemoryBudget::Reservation held(memory.budget());
    CHECK(memory.admits(MemoryUse::CallerRequest, longBytes));
    held.resize(longBytes);
    CHECK_FALSE(memory.admits(MemoryUse::CallerRequest, longBytes));
    CHECK(memory.admits(MemoryUse::PeerRequest, longBytes));
    held.resize(2 * longBytes);
    CHECK_FALSE(memory.admits(MemoryUse::PeerRequest, longBytes / 2));
    CHECK(memory.admits(MemoryUse::Response, longBytes / 2));
    CHECK_FALSE(memory.admits(MemoryUse::Response, longBytes));
}

TEST_CASE("short messages are received while long ones are not")
{
    MemoryAdmission memory(limit);
    MemoryBudget::Reservation held(memory.budget());
    held.resize(2 * longBytes);
    CHECK_FALSE(memory.admits(MemoryUse::CallerRequest, minLongMessageBytes));
    CHECK(memory.admits(MemoryUse::CallerRequest, minLongMessageBytes - 1));
}

TEST_CASE("what can be given up is, and only when it is needed")
{
    MemoryAdmission memory(limit);
    MemoryBudget::Reservation held(memory.budget());
    std::size_t asked = 0;
    memory.setReclaim([&](std::size_t bytes) {
        asked = bytes;
        held.resize(held.bytes() - bytes);
    });
    held.resize(longBytes);
    CHECK(memory.admits(MemoryUse::Response, longBytes));
    CHECK(asked == 0);
    held.resize(2 * longBytes);
    CHECK(memory.admits(MemoryUse::Response, longBytes));
    CHECK(asked == 3 * longBytes - limit);
    CHECK_FALSE(memory.admits(MemoryUse::Response, limit + 1)); // for which giving up would not help
    CHECK(asked == 3 * longBytes - limit);
}

TEST_CASE("the most worthy long request is read first, then the shortest, and a shorter one passes")
{
    LongRequestQueue queue;
    queue.add({ 1, 1, 30, start + 1s });
    queue.add({ 2, 1, 10, start + 1s });
    queue.add({ 3, 2, 50, start + 1s });
    queue.add({ 4, 1, 10, start + 2s });
    std::vector<std::uint64_t> asked;
    CHECK(queue.admit([&](const LongRequest& request) {
        asked.push_back(request.id);
        return request.bytes <= 10;
    }) == std::vector<std::uint64_t> { 2, 4 });
    CHECK(asked == std::vector<std::uint64_t> { 3, 2, 4, 1 });
    CHECK(queue.expire(start).empty());
    CHECK(queue.expire(start + 1s) == std::vector<std::uint64_t> { 3, 1 });
    CHECK(queue.empty());
}

TEST_CASE("when too many long requests wait, the least worthy and longest is refused")
{
    LongRequestQueue queue;
    std::uint64_t refused = 0;
    std::uint64_t id = 0;
    while (refused == 0)
        refused = queue.add({ ++id, id == 5 ? 0 : 1, 10, start });
    CHECK(refused == 5);
    CHECK(queue.add({ ++id, 1, 11, start }) == id);
}

TEST_CASE("of the responses that are kept the longest are dropped first, then the oldest")
{
    RetainedResponses retained(100);
    CHECK(retained.add(1, 40).empty());
    CHECK(retained.add(2, 10).empty());
    CHECK(retained.add(3, 40).empty());
    CHECK(retained.add(4, 20) == std::vector<std::uint64_t> { 1 });
    retained.remove(1);
    CHECK(retained.heldBytes() == 70);
    CHECK(retained.reclaim(41) == std::vector<std::uint64_t> { 3, 4 });
    retained.remove(2);
    CHECK(retained.heldBytes() == 0);
}
