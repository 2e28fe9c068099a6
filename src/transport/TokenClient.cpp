// Asks and their answers.
#include "transport/TokenClient.h"

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Without an answer from the team's home within this time, the entry falls back on its share of the plan.
constexpr Duration tokenTimeout = 120ms;
/// The part of its equal share of a plan that an entry without a home grants.
constexpr double fallbackShare = 0.5;

} // namespace

TokenClient::TokenClient(SidecarState& state, NodeTransport& transport)
    : m_state(state)
    , m_transport(transport)
    , m_owners(state.directory)
    , m_fallback(1)
{
}

void TokenClient::take(const TeamConfig& team, Done done)
{
    const Instant now = m_state.now();
    if (team.plan.ratePerSecond <= 0 || m_cache.use(team.id, now))
        return done(std::nullopt);
    const auto owner = m_owners.of(team.id);
    const TokenRequest request { m_nextNumber++, team.id, m_cache.requestSize(team.id) };
    ++m_state.counters.tokenRequests;
    m_pendingRequests[request.number] = { team.id, team.plan, std::move(done) };
    if (!owner || !m_transport.requestTokens(*owner, request)) {
        const auto node = m_pendingRequests.extract(request.number);
        return fallBack(node.mapped(), "no link to the home of the team's plan");
    }
    m_state.timers.at(now + tokenTimeout, [weak = weak_from_this(), number = request.number](Instant) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (const auto node = self->m_pendingRequests.extract(number))
            self->fallBack(node.mapped(), "no answer from the home of the team's plan");
    });
}

void TokenClient::giveBack(const TeamId& team) { m_cache.add(team, 1, m_state.now()); }

void TokenClient::onTokenResponse(const TokenResponse& response)
{
    const auto node = m_pendingRequests.extract(response.number);
    if (!node)
        return; // the fallback has decided
    const PendingRequest& request = node.mapped();
    if (response.tokens == 0)
        return request.done(notRunRefusal(
            ResultCode::PlanExceeded, "the team has used its rate and burst", response.retryAfter));
    m_cache.add(request.team, response.tokens - 1, m_state.now());
    request.done(std::nullopt);
}

void TokenClient::fallBack(const PendingRequest& request, const std::string& reason)
{
    const std::size_t nodes = std::max<std::size_t>(m_state.directory.vms().size(), 1);
    m_fallback.setShare(fallbackShare / static_cast<double>(nodes));
    const TokenGrant grant = m_fallback.take(request.team, request.plan, 1, m_state.now());
    if (grant.tokens > 0)
        return request.done(std::nullopt);
    request.done(notRunRefusal(ResultCode::PlanGrantsUnavailable, reason, grant.retryAfter));
}

} // namespace Ebonystack
