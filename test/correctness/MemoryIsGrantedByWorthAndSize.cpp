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
    memory.addReclaim(MemoryUse::CallerRequest, [&](std::size_t bytes) {
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

TEST_CASE("the most worthy long request is read first, then the shortest, and none passes a more worthy one")
{
    using Ids = std::vector<std::uint64_t>;
    LongRequestQueue queue;
    queue.add({ 1, 1, 30, start + 1s });
    queue.add({ 2, 1, 10, start + 1s });
    queue.add({ 3, 2, 50, start + 1s });
    queue.add({ 4, 1, 10, start + 2s });
    Ids asked;
    const auto acceptOnly = [&](std::uint64_t accepted) {
        return [&asked, accepted](const LongRequest& request) {
            asked.push_back(request.id);
            return request.id == accepted;
        };
    };
    CHECK(queue.admit(acceptOnly(2)).empty());
    CHECK(asked == Ids { 3 }); // no less worthy one passes
    CHECK(queue.blocks(1));
    queue.remove(3);
    CHECK_FALSE(queue.blocks(2));
    asked.clear();
    CHECK(queue.admit(acceptOnly(4)) == Ids { 4 });
    CHECK(asked == Ids { 2, 4, 1 }); // but others of the same worth
    CHECK(queue.expire(start).empty());
    CHECK(queue.expire(start + 1s) == Ids { 2, 1 });
    CHECK(queue.empty());
}

TEST_CASE("when too many long requests wait, the least worthy and longest is refused")
{
    LongRequestQueue queue;
    std::uint64_t refused = 0;
    std::uint64_t id = 0;
    while (refused == 0)
        refused = queue.add({ ++id, id == 5 ? 0.0 : 1.0, 10, start });
    CHECK(refused == 5);
    CHECK(queue.add({ ++id, 1, 11, start }) == id);
}

TEST_CASE("of the responses that are kept the longest are dropped first, then the oldest")
{
    using Ids = std::vector<std::uint64_t>;
    RetainedResponses retained(100'000);
    CHECK(retained.add(1, 40'000).empty());
    CHECK(retained.add(2, 10).empty());
    CHECK(retained.add(3, 40'000).empty());
    CHECK(retained.add(4, 20'000) == Ids { 1 });
    retained.remove(1);
    CHECK(retained.heldBytes() == 60'010);
    CHECK(retained.reclaim(60'001).empty()); // they have not so much
    CHECK(retained.reclaim(40'001) == Ids { 3, 4 });
    CHECK(retained.heldBytes() == 10);
    CHECK(retained.reclaim(10).empty()); // a short one frees little
    retained.remove(2);
    CHECK(retained.heldBytes() == 0);
}
