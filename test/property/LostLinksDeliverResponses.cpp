// Requests that must not run twice, whose link to the upstream's node is lost and comes back before the
// deadline.
#include "support/ModelledFleet.h"
#include "transport/Log.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

// Guards against 504 for a request whose response the upstream's node still had, or could still get.
TEST_CASE("property: a request that ran when its link was lost gets its response with the new link")
{
    Log::setLevel(Log::Level::Error);
    constexpr int requestCount = 6;
    const bool holds = rc::check([] {
        ModelledFleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        const auto before = std::chrono::milliseconds(*rc::gen::resize(100, rc::gen::inRange(5, 400)));
        const auto cut = std::chrono::milliseconds(*rc::gen::resize(100, rc::gen::inRange(1, 6500)));
        const auto loss = static_cast<ModelledFleet::LinkLoss>(*rc::gen::inRange(0, 3));
        fleet.advance(4s); // until all links are up
        for (int i = 0; i < requestCount; ++i)
            fleet.sendRequest(0, "order", 8s);
        fleet.advance(before);
        if (*rc::gen::arbitrary<bool>()) {
            fleet.lapseRecord(1, 20s);
            fleet.lapseRecord(2, 20s);
        }
        fleet.loseLink(0, 1, loss, cut);
        fleet.loseLink(0, 2, loss, cut);
        std::vector<std::string> ran;
        for (const auto& [id, request] : fleet.requests) {
            if (fleet.runsOf(id) > 0)
                ran.push_back(id);
        }
        fleet.advance(9s);
        for (const std::string& id : ran) {
            RC_ASSERT(fleet.requests.at(id).status == 200);
            RC_ASSERT(fleet.runsOf(id) == 1);
        }
    });
    CHECK(holds);
}
