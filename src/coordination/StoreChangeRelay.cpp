// Compares revisions: of the mirror, of the last push, and of peers.
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

std::optional<StoreChangesPush> StoreChangeRelay::takePush()
{
    const std::uint64_t since = m_pushedRevision;
    if (m_mirror.revision() <= since)
        return std::nullopt;
    m_pushedRevision = m_mirror.revision();
    StoreChangesPush push { m_mirror.changesSince(since) };
    if (push.update.items.empty() && !push.update.otherKeys)
        return std::nullopt; // only the revision has advanced, and heartbeats carry it
    return push;
}

void StoreChangeRelay::startPushing() { m_pushedRevision = m_mirror.revision(); }

std::optional<StoreChangesRequest> StoreChangeRelay::receivePush(const StoreChangesPush& push)
{
    if (m_mirror.revision() == 0)
        return std::nullopt; // the first listing brings the changes
    if (!m_mirror.applyUpdate(push.update))
        return StoreChangesRequest { m_mirror.revision() };
    m_pushedRevision = std::max(m_pushedRevision, push.update.revision);
    return std::nullopt;
}

void StoreChangeRelay::receiveResponse(const StoreChangesResponse& response)
{
    m_mirror.applyUpdate(response.update);
}

std::optional<StoreChangesRequest> StoreChangeRelay::compareWithPeer(std::uint64_t peerRevision, Instant now)
{
    const std::uint64_t revision = m_mirror.revision();
    if (peerRevision <= revision)
        return std::nullopt;
    if (m_behindRevision != revision) {
        m_behindRevision = revision;
        m_behindSince = now;
    }
    const bool wasJustRequested = m_requestedAt && now - *m_requestedAt < minRequestInterval;
    const bool waitsForPush = revision > 0 && now - m_behindSince < pushWaitTime;
    if (wasJustRequested || waitsForPush)
        return std::nullopt;
    m_requestedAt = now;
    return StoreChangesRequest { revision };
}

} // namespace Ebonystack
