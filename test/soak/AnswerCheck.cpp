// Excuses what the platform's rules excuse: disturbances without a plan, and the end of the grace time.
#include "AnswerCheck.h"

#include <utility>

namespace Ebonystack::Soak {
namespace {

/// Nothing is asked of a machine until it has been without disturbance for this time.
constexpr std::chrono::milliseconds stableTime { 3000 };
/// What a node uses of its grace time.
constexpr std::chrono::milliseconds usedGrace = graceTime - std::chrono::milliseconds(800);

} // namespace

AnswerCheck::AnswerCheck(std::uint64_t vms, RunLog& log)
    : m_log(log)
    , m_unplanned(vms)
    , m_stopAt(vms)
    , m_brokenOffAt(vms)
{
}

void AnswerCheck::onStop(std::uint64_t vm)
{
    if (!m_stopAt[vm])
        m_stopAt[vm] = Clock::now();
}

void AnswerCheck::onStart(std::uint64_t vm)
{
    m_stopAt[vm].reset();
    m_unplanned[vm].end(Disturbance::Down, Clock::now());
    m_unplanned[vm].end(Disturbance::Paused, Clock::now());
}

void AnswerCheck::onSent(
    const std::string& request, std::uint64_t vm, Clock::duration deadline, bool isOwed, bool readsSlowly)
{
    const auto now = Clock::now();
    m_requests.insert_or_assign(request, Request { vm, now, now + deadline, isOwed, !readsSlowly });
}

AnswerCheck::Request* AnswerCheck::find(const std::string& request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

void AnswerCheck::onRun(const std::string& request, std::uint64_t upstreamVm)
{
    if (Request* known = find(request)) {
        known->upstreamVm = upstreamVm;
        known->ranAt = Clock::now();
    }
}

void AnswerCheck::onAnswered(const std::string& request)
{
    Request* known = find(request);
    if (!known || known->isOver)
        return;
    known->answeredAt = Clock::now();
    m_owedCount += known->isOwed ? 1 : 0;
}

void AnswerCheck::onAlmostRead(const std::string& request)
{
    if (Request* known = find(request))
        known->isAlmostRead = true;
}

void AnswerCheck::onResponse(const std::string& request, int status)
{
    Request* known = find(request);
    if (!known)
        return;
    known->isOver = true;
    if (known->isOwed && known->answeredAt && status != 200)
        judgeMissing(request, *known, "got status " + std::to_string(status));
}

void AnswerCheck::onCutOff(const std::string& request)
{
    Request* known = find(request);
    if (!known || known->isOver || Clock::now() >= known->deadline)
        return;
    known->isOver = true;
    const std::string excuse = excuseOfEntry(*known);
    known->isCutOff = excuse.empty();
    m_excusedCount += known->answeredAt && !known->isCutOff ? 1 : 0;
    m_log.add("the connection of request " + request + " ended without a whole response at node "
        + std::to_string(known->vm) + (excuse.empty() ? "" : "; excused: " + excuse));
}

void AnswerCheck::onGivenUp(const std::string& request)
{
    Request* known = find(request);
    if (!known || std::exchange(known->isOver, true) || !known->isOwed || !known->answeredAt)
        return;
    judgeMissing(request, *known, "had no whole response at its deadline");
}

void AnswerCheck::onNodeEnded(std::uint64_t vm)
{
    for (auto& [id, request] : m_requests) {
        if (request.vm != vm || !request.isOwed || !request.answeredAt || request.isOver
            || request.isAlmostRead)
            continue;
        request.isOver = true;
        judgeMissing(id, request, "still read its response when the process of its node ended");
    }
}

void AnswerCheck::judgeMissing(const std::string& id, const Request& request, const std::string& seen)
{
    const std::string excuse = excuseOfResponse(request);
    const std::string text = "the caller of request " + id + " at node " + std::to_string(request.vm) + ' '
        + seen + ", though upstream " + std::to_string(*request.upstreamVm) + " had sent all of it";
    m_log.add(text + (excuse.empty() ? "" : "; excused: " + excuse));
    if (excuse.empty())
        m_violations.push_back(text);
    else
        ++m_excusedCount;
}

std::string AnswerCheck::excuseOfEntry(const Request& request) const
{
    if (m_unplanned[request.vm].anySince(request.sentAt - stableTime))
        return "unplanned disturbance of the entry node";
    if (m_stopAt[request.vm] && Clock::now() >= *m_stopAt[request.vm] + usedGrace)
        return "the grace time is over";
    return {};
}

std::string AnswerCheck::excuseOfResponse(const Request& request) const
{
    if (std::string excuse = excuseOfEntry(request); !excuse.empty())
        return excuse;
    if (m_unplanned[*request.upstreamVm].anySince(request.sentAt - stableTime))
        return "unplanned disturbance of the node beside the upstream";
    if (m_brokenOffAt[*request.upstreamVm] >= request.ranAt)
        return "the upstream broke off";
    return {};
}

std::vector<std::string> AnswerCheck::violations() const
{
    std::vector<std::string> all = m_violations;
    for (const auto& [id, request] : m_requests) {
        if (request.isCutOff && request.upstreamVm)
            all.push_back("the connection of request " + id + " ended without a whole response at node "
                + std::to_string(request.vm) + ", though it ran");
    }
    return all;
}

} // namespace Ebonystack::Soak
