// Repeats that are short go to the call trees that earn most with each, and not to those that ask first.
#include "coordination/ValueRationing.h"
#include "support/SidecarFixtures.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

constexpr double highValue = 0.2;
constexpr double lowValue = 0.016;

struct Admitted {
    double high { 0 };
    double low { 0 };
};

/// Trees of low value want 200 repeats a second, and before them trees of high value 80. Returns the shares
/// admitted in the last second.
Admitted runRationing(double repeatsLeft)
{
    ValueRationing rationing;
    Admitted admitted;
    Instant now { 100s };
    for (int tick = 0; tick < 40; ++tick) {
        const bool counts = tick >= 30;
        for (int i = 0; i < 20; ++i)
            admitted.low += rationing.admit(lowValue) && counts ? 1.0 / 200 : 0;
        for (int i = 0; i < 8; ++i)
            admitted.high += rationing.admit(highValue) && counts ? 1.0 / 80 : 0;
        now += 100ms;
        rationing.update({ repeatsLeft, 5s, 5s }, now);
    }
    return admitted;
}

} // namespace

TEST_CASE("repeats that the budget can't keep up go to the trees of most value")
{
    const Admitted admitted = runRationing(500); // 100 a second
    CHECK(admitted.high >= 0.95);
    CHECK(admitted.low >= 0.05);
    CHECK(admitted.low <= 0.15);
}

TEST_CASE("all trees get repeats while the budget has enough of them")
{
    const Admitted admitted = runRationing(5000);
    CHECK(admitted.high == doctest::Approx(1));
    CHECK(admitted.low == doctest::Approx(1));
}

TEST_CASE("a nested call has the value of the tree of its parent")
{
    EntryServiceFixture fixture;
    ServingConfig config = makeServingConfig();
    config.routes[0].isPublic = true;
    fixture.state.config = std::make_shared<const ServingIndex>(config);
    const RunId parent = fixture.state.runs.start({ { "parent" }, fixture.now + 1s, highValue });
    HttpRequest call = makeCallerRequest("/read/1", "1");
    call.head.fields.removeIf([](const HttpField& field) { return field.name == "Authorization"; });
    fixture.begin(call);
    CHECK(fixture.transport.sent.back().request.treeValue == highValue);
    fixture.state.runs.end(parent, false, fixture.now);
    fixture.begin(call);
    CHECK(fixture.transport.sent.back().request.treeValue == 0);
}

TEST_CASE("a tree is worth less for each arrival the more it causes at one service")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    const double single = fixture.transport.sent.back().request.treeValue;
    CHECK(single > 0);
    fixture.state.costs.updateReportedArrivals({ "order" }, { { { "registry" }, 1 }, { { "deep" }, 10 } });
    fixture.begin("/order/2");
    CHECK(fixture.transport.sent.back().request.treeValue < single / 5);
}
