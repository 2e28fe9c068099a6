// Looks up the team's plan and takes tokens from its bucket.
#include "transport/TokenServer.h"

namespace Ebonystack {
namespace {

/// A node whose configuration is out of date has received the team after this time, if the team exists.
constexpr Duration unknownTeamRetryAfter = std::chrono::milliseconds(2500);

} // namespace

TokenServer::TokenServer(const SidecarState& state)
    : m_state(state)
    , m_owners(state.directory)
    , m_buckets(1)
{
}

void TokenServer::tick(Instant now)
{
    const VmId self { m_state.settings.vm };
    m_buckets.limitUnowned([&](const TeamId& team) { return m_owners.ownerOf(team) == self; }, now);
}

TokenResponse TokenServer::grant(const TokenRequest& request)
{
    const TeamConfig* team = m_state.config ? m_state.config->findTeam(request.team) : nullptr;
    if (!team)
        return { request.number, 0, unknownTeamRetryAfter };
    const TokenGrant grant = m_buckets.take(request.team, team->plan, request.requested, m_state.now());
    return { request.number, grant.tokens, grant.retryAfter };
}

} // namespace Ebonystack
