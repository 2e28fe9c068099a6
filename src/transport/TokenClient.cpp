// Token requests to plan owners, with a timeout and a fallback.
#include "transport/TokenClient.h"

#include "coordination/PlanShare.h"

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Without a response from the plan's owner within this time, the entry node uses its fallback share.
constexpr Duration tokenResponseTimeout = 120ms;

} // namespace

TokenClient::TokenClient(SidecarState& state, NodeTransport& transport, std::uint64_t seed)
    : m_state(state)
    , m_transport(transport)
    , m_owners(state.directory)
    , m_fallbackTokens(seed)
{
}

void TokenClient::take(const TeamConfig& team, Callback done)
{
    const Instant now = m_state.now();
    if (team.plan.ratePerSecond <= 0 || m_cache.use(team.id, now))
        return done(std::nullopt);
    const auto owner = m_owners.ownerOf(team.id);
    const TokenRequest request { m_nextNumber++, team.id, m_cache.tokensToRequest(team.id) };
    ++m_state.counters.tokenRequests;
    m_pendingRequests[request.number] = { team.id, team.plan, std::move(done) };
    if (!owner || !m_transport.requestTokens(*owner, request)) {
        const auto node = m_pendingRequests.extract(request.number);
        return takeFromFallback(node.mapped(), "the team's plan has no reachable owner");
    }
    m_state.timers.at(
        now + tokenResponseTimeout, [weak = weak_from_this(), number = request.number](Instant) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (const auto node = self->m_pendingRequests.extract(number))
                self->takeFromFallback(node.mapped(), "the owner of the team's plan did not respond in time");
        });
}

void TokenClient::returnToken(const TeamId& team) { m_cache.add(team, 1, m_state.now()); }

void TokenClient::onTokenResponse(const TokenResponse& response)
{
    const auto node = m_pendingRequests.extract(response.number);
    if (!node)
        return; // timed out: the fallback has decided
    const PendingRequest& request = node.mapped();
    if (response.tokens == 0)
        return request.done(notRunRefusal(
            ResultCode::PlanExceeded, "the team has used its rate and burst", response.retryAfter));
    m_cache.add(request.team, response.tokens - 1, m_state.now());
    request.done(std::nullopt);
}

void TokenClient::takeFromFallback(const PendingRequest& request, const std::string& reason)
{
    const double share = entryNodePlanShare(m_state.directory.vms().size());
    const TokenGrant grant = m_fallbackTokens.take(request.team, request.plan, share, m_state.now());
    if (grant.tokens > 0)
        return request.done(std::nullopt);
    request.done(notRunRefusal(ResultCode::PlanGrantsUnavailable, reason, grant.retryAfter));
}

} // namespace Ebonystack
