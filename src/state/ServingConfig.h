// The operator's configuration: routes by host and path prefix, the services behind them, and the teams with
// their API keys and plans. The values are built once per version and not changed afterwards.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Ebonystack {

/// One of the services a route is split over, with its share of the route's requests.
struct ServiceShare {
    ServiceName service;
    double weight { 1 }; ///< relative to the weights of the route's other shares; above 0

    auto operator<=>(const ServiceShare&) const = default;
};

struct RouteConfig {
    RouteId id;
    std::string host; ///< in lower case, without a port
    std::string pathPrefix; ///< begins and ends with '/'
    bool idempotent { false }; ///< requests may be executed more than once
    bool isPublic { false }; ///< requests need no API key
    Duration timeout { 0 }; ///< maximum time until the caller gets a response; zero: no limit
    Duration targetLatency { 0 }; ///< a response within this time has its full worth
    int priority { 0 }; ///< 0 is shed last
    std::uint32_t maxAttempts { 1 }; ///< maximum number of upstreams to which one request is sent
    std::vector<ServiceShare> shares; ///< at least one

    auto operator<=>(const RouteConfig&) const = default;
};

/// A team's limits on requests. A rate of zero means that there is no limit.
struct TeamPlan {
    double ratePerSecond { 0 };
    double burst { 0 }; ///< requests

    auto operator<=>(const TeamPlan&) const = default;
};

struct TeamConfig {
    TeamId id;
    std::vector<std::string> apiKeys;
    std::optional<int> priority; ///< 0, also when not set, is shed last among requests of one route priority
    TeamPlan plan;

    auto operator<=>(const TeamConfig&) const = default;
};

/// Limits on the size of a caller's request and on the time to send it.
struct CallerLimits {
    std::uint32_t headerBytes { 16384 };
    std::uint64_t bodyBytes { 1 << 20 };
    Duration headerTimeout { std::chrono::seconds(3) };
    Duration idleTimeout { std::chrono::seconds(15) };

    auto operator<=>(const CallerLimits&) const = default;
};

struct ServingConfig {
    std::uint64_t version { 0 };
    std::vector<RouteConfig> routes;
    std::vector<TeamConfig> teams;
    bool hasTeams { false }; ///< callers need an API key on routes that are not public
    CallerLimits limits;

    auto operator<=>(const ServingConfig&) const = default;
};

/// Finds routes and teams of one configuration.
class ServingIndex {
public:
    explicit ServingIndex(ServingConfig);
    ServingIndex(const ServingIndex&) = delete;
    ServingIndex& operator=(const ServingIndex&) = delete;

    const ServingConfig& config() const { return m_config; }

    /// The route of `host` with the longest path prefix that matches `path`; null when there is none. `host`
    /// may have a port, and its case does not matter.
    const RouteConfig* findRoute(std::string_view host, std::string_view path) const;
    /// The team with the API key `key`; null when there is none.
    const TeamConfig* findTeamByKey(std::string_view key) const;
    const TeamConfig* findTeam(const TeamId&) const;

private:
    const ServingConfig m_config;
    // Both point into m_config. The routes of a host are in the order of their prefixes' lengths, longest
    // first.
    std::unordered_map<std::string, std::vector<const RouteConfig*>> m_routesByHost;
    std::unordered_map<std::string, const TeamConfig*> m_teamsByKey;
};

} // namespace Ebonystack
