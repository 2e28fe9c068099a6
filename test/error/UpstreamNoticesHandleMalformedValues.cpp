// Limits that an upstream names are plain decimal numbers; anything else is an error and no limit.
#include "lab/SimplePlatformAdapter.h"
#include "protocol/UpstreamNoticeDecoder.h"

#include <doctest/doctest.h>

using namespace Ebonystack;

namespace {

tl::expected<UpstreamNotice, std::string> decode(const std::string& name, const std::string& value)
{
    HttpFields fields;
    fields.add(name, value);
    return decodeUpstreamNotice(fields, SimplePlatformAdapter().fieldNames());
}

} // namespace

TEST_CASE("decimal numbers are read, also zero, fractions and large ones")
{
    CHECK(decode("X-Limit", "28.1")->requestsPerSecond == 28.1);
    CHECK(decode("x-limit", "0")->requestsPerSecond == 0);
    CHECK(decode("X-Limit", "0.25")->requestsPerSecond == 0.25);
    CHECK(decode("X-Limit", "1000000000000")->requestsPerSecond == 1e12);
    CHECK(decode("X-Leaving", "1")->leaving);
    CHECK(decode("X-Other", "1") == UpstreamNotice {});
}

TEST_CASE("other values are errors that name the field and a bounded part of the value")
{
    for (const std::string value :
        { "", "-1", "+1", "1e9", "nan", "inf", "0x10", "1.2.3", "12 a second", "." })
        CHECK_FALSE(decode("X-Limit", value));
    CHECK_FALSE(decode("X-Leaving", "0"));
    CHECK_FALSE(decode("X-Leaving", "true"));
    CHECK(decode("X-Limit", std::string(10000, 'x')).error().size() < 100);
}
