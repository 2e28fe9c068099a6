// Compares positions: of the mirror, of the last push, and of peers.
#include "coordination/StoreChangeRelay.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// A reader's push normally arrives within this time after another node has the change.
constexpr Duration pushWaitTime = 250ms;
constexpr Duration minRequestInterval = 100ms;

} // namespace

StoreChangeRelay::StoreChangeRelay(StoreMirror& mirror)
    : m_mirror(mirror)
{
}

StoreChangesRequest StoreChangeRelay::makeRequest() const { return { m_mirror.revision(), m_mirror.era() }; }

std::optional<StoreChangesPush> StoreChangeRelay::takePush()
{
    if (m_mirror.position() <= m_pushed)
        return std::nullopt;
    StoreChangesPush push { m_mirror.changesSince(m_pushed) };
    m_pushed = m_mirror.position();
    if (push.update.items.empty() && !push.update.otherKeys)
        return std::nullopt; // only the revision has advanced, and heartbeats carry it
    return push;
}

void StoreChangeRelay::startPushing() { m_pushed = m_mirror.position(); }

std::optional<StoreChangesRequest> StoreChangeRelay::receivePush(const StoreChangesPush& push)
{
    if (m_mirror.revision() == 0)
        return std::nullopt; // the first listing brings the changes
    if (!m_mirror.applyUpdate(push.update))
        return makeRequest();
    m_pushed = std::max(
        m_pushed, StorePosition { push.update.era.value_or(m_mirror.era()), push.update.revision });
    return std::nullopt;
}

void StoreChangeRelay::receiveResponse(const StoreChangesResponse& response)
{
    m_mirror.applyUpdate(response.update);
}

std::optional<StoreChangesRequest> StoreChangeRelay::compareWithPeer(const StorePosition& peer, Instant now)
{
    const StorePosition position = m_mirror.position();
    if (peer <= position)
        return std::nullopt;
    if (m_behindAt != position) {
        m_behindAt = position;
        m_behindSince = now;
    }
    const bool wasJustRequested = m_requestedAt && now - *m_requestedAt < minRequestInterval;
    const bool waitsForPush = position.revision > 0 && now - m_behindSince < pushWaitTime;
    if (wasJustRequested || waitsForPush)
        return std::nullopt;
    m_requestedAt = now;
    return makeRequest();
}

} // namespace Ebonystack
