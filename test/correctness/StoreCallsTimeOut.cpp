// When a call to the store counts as silent.
#include "coordination/StoreCallTimeout.h"
#include "coordination/StoreRoles.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

TEST_CASE("a reader's watch that hears nothing is noticed before a change is 2 s old")
{
    const StoreCallTimeout timeout;
    for (const std::size_t dataCentres : { 1, 6 })
        CHECK(callPlanOf(StoreRole::Reader, dataCentres).watchWait + timeout.silentAfter(false) < 2s);
}

TEST_CASE("a slow store is not taken for a silent one at each watch")
{
    StoreCallTimeout timeout;
    timeout.recordResponseTime(400ms);
    CHECK(timeout.silentAfter(false) > 1s);
    timeout.recordResponseTime(60s);
    CHECK(timeout.silentAfter(false) <= 2s);
    CHECK(timeout.silentAfter(true) >= timeout.silentAfter(false));
}

TEST_CASE("a store that was slow for a while is soon noticed again when it is silent")
{
    StoreCallTimeout timeout;
    timeout.recordResponseTime(400ms);
    for (int i = 0; i < 20; ++i)
        timeout.recordResponseTime(4ms);
    CHECK(timeout.silentAfter(false) <= 500ms);
}

TEST_CASE("retries are short, so that the end of an outage is known closely, but for some that a slow store "
          "can answer")
{
    const StoreCallTimeout timeout;
    int longRetries = 0;
    for (int failures = 1; failures <= 9; ++failures) {
        longRetries += timeout.silentAfter(failures) == 2s ? 1 : 0;
        CHECK((timeout.silentAfter(failures) <= 700ms || timeout.silentAfter(failures) == 2s));
    }
    CHECK(longRetries == 3);
}
