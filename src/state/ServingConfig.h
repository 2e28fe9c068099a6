// What the operator allows: routes by host and path prefix, the services behind them, and the teams with
// their keys and plans. Plain values, built once a version and then only read.
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
    bool idempotent { false }; ///< may run more than once
    bool isPublic { false }; ///< needs no key
    Duration timeout { 0 }; ///< the longest time a caller is kept waiting; zero: no limit
    Duration targetLatency { 0 }; ///< an answer within this time has its full worth
    int priority { 0 }; ///< 0 is shed last
    std::uint32_t maxAttempts { 1 }; ///< upstreams to which one request may be sent
    std::vector<ServiceShare> shares; ///< at least one

    auto operator<=>(const RouteConfig&) const = default;
};

/// A team's plan. A rate of zero means that there is no limit.
struct TeamPlan {
    double ratePerSecond { 0 };
    double burst { 0 };

    auto operator<=>(const TeamPlan&) const = default;
};

struct TeamConfig {
    TeamId id;
    std::vector<std::string> apiKeys;
    std::optional<int> priority; ///< goes before the priority of the route
    TeamPlan plan;

    auto operator<=>(const TeamConfig&) const = default;
};

/// What a caller may send, and how long it may take.
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
    bool hasTeams { false }; ///< callers need a key on routes that aren't open
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

    /// The route of `host` with the longest prefix that begins `path`; null when there is none. `host` may
    /// have a port, and its case does not matter.
    const RouteConfig* findRoute(std::string_view host, std::string_view path) const;
    /// The team that holds `key`; null when none does.
    const TeamConfig* findTeamByKey(std::string_view key) const;
    const TeamConfig* findTeam(const TeamId&) const;

private:
    const ServingConfig m_config;
    // Both point into m_config. The routes of a host are ordered by falling length of their prefix.
    std::unordered_map<std::string, std::vector<const RouteConfig*>> m_routesByHost;
    std::unordered_map<std::string, const TeamConfig*> m_teamsByKey;
};

} // namespace Ebonystack
