// The route index finds the same route as a search through all routes: equal host, longest matching prefix.
#include "state/ServingConfig.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Ebonystack;

namespace {

const std::vector<std::string> hosts { "a", "b", "c" };

/// Generates "/", "/x/", "/x/y/" and so on, of three letters only, so that prefixes overlap.
rc::Gen<std::string> genPrefix()
{
    return rc::gen::map(rc::gen::container<std::vector<char>>(rc::gen::elementOf(std::string("xyz"))),
        [](const std::vector<char>& letters) {
            std::string prefix = "/";
            for (const char letter : letters)
                prefix += std::string(1, letter) + '/';
            return prefix;
        });
}

} // namespace

TEST_CASE("property: the route index agrees with a linear search")
{
    const bool holds = rc::check([] {
        ServingConfig config;
        const auto count = *rc::gen::inRange<std::size_t>(0, 30);
        for (std::size_t i = 0; i < count; ++i) {
            RouteConfig route;
            route.id = { "r" + std::to_string(i) };
            route.host = *rc::gen::elementOf(hosts);
            route.pathPrefix = *genPrefix();
            const bool isTaken = std::ranges::any_of(config.routes, [&](const RouteConfig& other) {
                return other.host == route.host && other.pathPrefix == route.pathPrefix;
            });
            if (!isTaken)
                config.routes.push_back(std::move(route));
        }
        const ServingIndex index(config);
        const std::string host = *rc::gen::elementOf(hosts);
        const std::string path = *genPrefix() + *rc::gen::element<std::string>("", "x", "xx", "end");
        const RouteConfig* expected = nullptr;
        for (const RouteConfig& route : config.routes) {
            const bool matches = route.host == host && path.starts_with(route.pathPrefix);
            if (matches && (!expected || route.pathPrefix.size() > expected->pathPrefix.size()))
                expected = &route;
        }
        const RouteConfig* found = index.findRoute(host, path);
        RC_ASSERT((found != nullptr) == (expected != nullptr));
        if (found)
            RC_ASSERT(found->id == expected->id);
    });
    CHECK(holds);
}
