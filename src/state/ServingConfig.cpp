// Builds and searches the lookup tables of one configuration.
#include "state/ServingConfig.h"

#include <algorithm>

namespace Ebonystack {
namespace {

std::string normalizedHost(std::string_view host)
{
    const auto colon = host.find(':');
    std::string name(host.substr(0, colon));
    std::ranges::transform(name, name.begin(),
        [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; });
    return name;
}

} // namespace

ServingIndex::ServingIndex(ServingConfig config)
    : m_config(std::move(config))
{
    for (const RouteConfig& route : m_config.routes)
        m_routesByHost[normalizedHost(route.host)].push_back(&route);
    for (auto& [host, routes] : m_routesByHost) {
        std::ranges::stable_sort(routes, [](const RouteConfig* a, const RouteConfig* b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const TeamConfig& team : m_config.teams) {
        for (const std::string& key : team.apiKeys)
            m_teamsByKey.emplace(key, &team);
    }
}

const RouteConfig* ServingIndex::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(normalizedHost(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (const RouteConfig* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const TeamConfig* ServingIndex::findTeamByKey(std::string_view key) const
{
    const auto found = m_teamsByKey.find(std::string(key));
    return found == m_teamsByKey.end() ? nullptr : found->second;
}

const TeamConfig* ServingIndex::findTeam(const TeamId& id) const
{
    const auto found = std::ranges::find(m_config.teams, id, &TeamConfig::id);
    return found == m_config.teams.end() ? nullptr : &*found;
}

} // namespace Ebonystack
