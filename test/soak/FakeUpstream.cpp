// The fake upstreams of the soak.
#include "FakeUpstream.h"

#include "SoakContent.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace Ebonystack::Soak {
namespace {

constexpr std::chrono::milliseconds heartbeat { 1500 };
constexpr std::chrono::milliseconds reachabilityPoll { 20 };
/// An upstream that reaches the store again writes its entry within `returnTime`; one whose entry is still
/// missing then is to be treated as gone.
constexpr std::chrono::milliseconds returnTime { 2000 };
constexpr std::uint64_t longestReturn = 1900; // ms
constexpr std::chrono::seconds limitGrace { 3 };
constexpr std::chrono::seconds limitWindow { 4 };
/// After the first response of an upstream that says it is leaving, plus time for requests under way.
constexpr std::chrono::milliseconds namedDrainTime { 2500 };

std::string field(const HttpRequest& request, const char* name)
{
    return std::string(request.head.fields.find(name).value_or(""));
}

} // namespace

FakeUpstream::FakeUpstream(
    const UpstreamSurroundings& surroundings, std::uint64_t vm, std::string address, std::uint64_t seed)
    : m_surroundings(surroundings)
    , m_vm(vm)
    , m_address(std::move(address))
    , m_random(seed)
    , m_earlyRandom(~seed)
    , m_server(surroundings.io, m_address,
          [this](const HttpRequest& request, FakeHttpServer::ResponseCallback respond) {
              handle(request, std::move(respond));
          })
{
    m_server.setEarlyHandler(
        [this](const HttpRequest& request, std::size_t bytesLeft, const auto& connection) {
            return beginEarly(request, bytesLeft, connection);
        });
    m_server.setRepeatsLate([this] { return m_isRejecting && m_random.below(2) == 0; });
}

// The run and its entry.

void FakeUpstream::start()
{
    if (m_runs)
        endAtOnce();
    ++m_run;
    ++m_startedAt;
    const bool keepsId = m_random.below(4) == 0;
    if (m_instance.empty() || !keepsId)
        m_instance = "i-" + std::to_string(m_vm) + '-' + std::to_string(m_startedAt);
    m_sequence = 0;
    m_runs = true;
    m_isCutOff = false;
    m_news.reset();
    m_isAcknowledged = false;
    m_saysLeaving = false;
    m_leavingNamedAt.reset();
    nameLimit(0);
    m_server.listen();
    m_surroundings.log.add("upstream " + std::to_string(m_vm) + " starts as " + m_instance);
    tendEntry();
}

void FakeUpstream::endAtOnce()
{
    ++m_run;
    m_runs = false;
    m_news.reset();
    m_surroundings.drainCheck.onEnded(m_vm);
    m_surroundings.answerCheck.onBrokenOff(m_vm);
    m_server.stopListening();
    m_server.closeConnections();
    m_surroundings.log.add("upstream " + std::to_string(m_vm) + " has ended");
}

void FakeUpstream::crash(Clock::duration pause)
{
    if (!m_runs || m_news)
        return;
    m_server.resetConnections();
    endAtOnce();
    after(pause, &FakeUpstream::start);
}

void FakeUpstream::closeConnections()
{
    m_surroundings.answerCheck.onBrokenOff(m_vm);
    m_server.closeConnections();
}

void FakeUpstream::leave(LeavingNews news, Clock::duration extra, Clock::duration pause)
{
    if (!m_runs || m_news)
        return;
    m_news = news;
    m_extra = extra;
    m_pause = pause;
    writeEntry();
}

void FakeUpstream::removeEntry() { m_surroundings.store.removeEntry(m_vm, entryKey()); }

void FakeUpstream::after(Clock::duration delay, void (FakeUpstream::*step)())
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_surroundings.io, delay);
    timer->async_wait([this, timer, step, run = m_run](const boost::system::error_code&) {
        if (run == m_run)
            (this->*step)();
    });
}

void FakeUpstream::tendEntry()
{
    if (!m_surroundings.store.reaches(m_vm)) {
        m_isCutOff = true;
        return after(reachabilityPoll, &FakeUpstream::tendEntry);
    }
    if (std::exchange(m_isCutOff, false)) {
        m_reachedAgainAt = Clock::now();
        return after(std::chrono::milliseconds(m_random.below(longestReturn)), &FakeUpstream::tendEntry);
    }
    writeEntry();
    after(heartbeat, &FakeUpstream::tendEntry);
}

bool FakeUpstream::writeEntry()
{
    if (m_news == LeavingNews::Removal) {
        const bool hadEntry = m_surroundings.store.hasEntry(entryKey());
        const bool isAccepted = m_isAcknowledged || m_surroundings.store.removeEntry(m_vm, entryKey());
        // A lapsed entry can't be removed. It counts as gone once the upstream could have written it again.
        const auto now = Clock::now();
        const auto reachedAt = m_isCutOff ? now : m_reachedAgainAt;
        const auto goneAt = hadEntry ? now : std::max(now, reachedAt + returnTime);
        if (isAccepted)
            onLeavingAccepted(goneAt);
        return isAccepted;
    }
    const bool isDraining = m_news == LeavingNews::Draining;
    const nlohmann::json entry { { "address", m_address }, { "born", m_startedAt },
        { "info", { { "service", "registry" }, { "zone", "a" }, { "slots", 40 } } },
        { "status", { { "state", isDraining ? "draining" : "ready" }, { "cold_left", "0ms" } } } };
    const bool isAccepted = m_surroundings.store.renewEntry(m_vm, entryKey(), entry, ++m_sequence);
    if (isAccepted && isDraining)
        onLeavingAccepted(Clock::now());
    return isAccepted;
}

void FakeUpstream::onLeavingAccepted(Clock::time_point at)
{
    if (std::exchange(m_isAcknowledged, true))
        return;
    m_surroundings.drainCheck.onAcknowledged(
        m_vm, at, m_instance + (m_news == LeavingNews::Removal ? " is removed" : " is draining"));
    after(drainTime + m_extra, &FakeUpstream::end);
}

void FakeUpstream::end()
{
    removeEntry();
    endAtOnce();
    after(m_pause, &FakeUpstream::start);
}

// Requests.

void FakeUpstream::handle(const HttpRequest& request, FakeHttpServer::ResponseCallback respond)
{
    constexpr std::uint64_t requestsPerLostConnection = 200;
    const std::string id = field(request, "Ebonystack-Attempt-Id");
    if (!isForThisRun(request)) {
        respond(fakeResponse(421, "", "Ebonystack-Attempt-Id: " + id + "\r\n"));
        return;
    }
    checkFields(request, id);
    if (!request.body.empty() && !isWholeContent(request.body.view(), id))
        m_surroundings.observations.violations.push_back("the body of request " + id + " was changed");
    if (m_isRejecting && m_random.below(3) == 0) {
        respond(fakeResponse(503, "", "Ebonystack-Attempt-Id: " + id + "\r\nEbonystack-Not-Executed: 1\r\n"));
        return;
    }
    beginRun(id);
    const bool lost = m_random.below(requestsPerLostConnection) == 0;
    const bool isSlow = request.head.target.starts_with(slowPath);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_surroundings.io,
        std::chrono::milliseconds(isSlow ? 500 + m_random.below(1000) : 3 + m_random.below(40)));
    timer->async_wait(
        [this, timer, respond = std::move(respond), id, lost, run = m_run, period = m_nodePeriod,
            body = bodyFor(request, id)](const boost::system::error_code&) {
            if (run != m_run)
                return;
            const bool heardByNode = !m_nodeIsDisturbed && period == m_nodePeriod;
            const std::string response = lost
                ? ""
                : fakeResponse(200, body,
                    "Ebonystack-Attempt-Id: " + id + "\r\nEbonystack-Server-Seal: s\r\n"
                        + noticeFields(heardByNode));
            if (respond(response) && !lost)
                m_surroundings.answerCheck.onAnswered(id);
        });
}

bool FakeUpstream::isForThisRun(const HttpRequest& request) const
{
    return field(request, "Ebonystack-Expect-Instance") == m_instance;
}

void FakeUpstream::checkFields(const HttpRequest& request, const std::string& id)
{
    m_surroundings.drainCheck.onArrival(m_vm, id);
    std::vector<std::string>& violations = m_surroundings.observations.violations;
    if (request.head.fields.find("Authorization"))
        violations.push_back("an API key reached the upstream with request " + id);
    if (field(request, "Ebonystack-Tenant") != "team"
        || field(request, "Ebonystack-Caller-Service") != "registry")
        violations.push_back("wrong team or calling service at the upstream with request " + id);
}

void FakeUpstream::beginRun(const std::string& id)
{
    ++m_surroundings.observations.executions[id];
    m_surroundings.answerCheck.onRun(id, m_vm);
    checkArrival(id);
}

std::string FakeUpstream::bodyFor(const HttpRequest& request, const std::string& id) const
{
    if (!request.head.target.starts_with(bulkPath))
        return "ok:" + id;
    return makeContent(id, std::stoull(request.head.target.substr(std::string_view(bulkPath).size())));
}

bool FakeUpstream::beginEarly(
    const HttpRequest& request, std::size_t bytesLeft, const std::shared_ptr<PacedConnection>& connection)
{
    constexpr std::uint64_t requestsPerCutOff = 6;
    if (!request.head.target.starts_with(unframedPath) || !isForThisRun(request))
        return false;
    const std::string id = field(request, "Ebonystack-Attempt-Id");
    checkFields(request, id);
    beginRun(id);
    const std::string content = makeContent(id, 1000 + m_earlyRandom.below(30000));
    const std::size_t half = content.size() / 2;
    connection->pauseReading();
    connection->write("HTTP/1.1 200 X\r\nEbonystack-Attempt-Id: " + id
        + "\r\nEbonystack-Server-Seal: s\r\nConnection: close\r\n\r\n" + content.substr(0, half));
    const bool isCutOff = m_earlyRandom.below(requestsPerCutOff) == 0;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_surroundings.io, std::chrono::milliseconds(50 + m_earlyRandom.below(400)));
    timer->async_wait([this, timer, id, bytesLeft, rest = content.substr(half), connection, isCutOff,
                          run = m_run](const boost::system::error_code&) {
        if (run != m_run)
            return;
        if (isCutOff)
            m_server.reset(connection);
        else
            endEarly(id, bytesLeft, rest, connection);
    });
    return true;
}

/// Reads the request, then ends the response in an orderly way.
void FakeUpstream::endEarly(const std::string& id, std::size_t bytesLeft, const std::string& rest,
    const std::shared_ptr<PacedConnection>& connection)
{
    auto left = std::make_shared<std::size_t>(bytesLeft);
    connection->setOnBytes([this, id, left, rest, weak = std::weak_ptr(connection)](std::string_view bytes) {
        *left -= std::min(*left, bytes.size());
        const auto open = weak.lock();
        if (*left > 0 || !open)
            return;
        open->write(rest);
        m_surroundings.answerCheck.onAnswered(id);
        open->closeAfterWriting();
    });
    connection->resumeReading();
}

void FakeUpstream::nameLimit(double requestsPerSecond)
{
    m_limit = requestsPerSecond;
    m_limitNamedAt.reset();
    m_limitedArrivals.clear();
}

void FakeUpstream::sayLeaving()
{
    m_saysLeaving = true;
    m_leavingNamedAt.reset();
}

void FakeUpstream::setNodeDisturbed(bool isDisturbed)
{
    m_nodeIsDisturbed = isDisturbed;
    ++m_nodePeriod;
    m_leavingNamedAt.reset();
}

std::string FakeUpstream::noticeFields(bool heardByNode)
{
    std::string fields;
    if (m_limit > 0) {
        fields += "Server-Limit: " + std::to_string(m_limit) + "\r\n";
        m_limitNamedAt = m_limitNamedAt.value_or(Clock::now());
    }
    if (m_saysLeaving) {
        fields += "Server-Leaving: 1\r\n";
        if (heardByNode)
            m_leavingNamedAt = m_leavingNamedAt.value_or(Clock::now());
    }
    return fields;
}

void FakeUpstream::checkArrival(const std::string& id)
{
    const auto now = Clock::now();
    if (m_leavingNamedAt && now > *m_leavingNamedAt + namedDrainTime)
        m_surroundings.observations.violations.push_back(
            "request " + id + " reached an upstream that was leaving");
    if (!m_limitNamedAt || now < *m_limitNamedAt + limitGrace)
        return;
    m_limitedArrivals.push_back(now);
    while (m_limitedArrivals.front() <= now - limitWindow)
        m_limitedArrivals.pop_front();
    const double tolerated = 1.5 * m_limit * static_cast<double>(limitWindow.count()) + 5;
    if (static_cast<double>(m_limitedArrivals.size()) > tolerated)
        m_surroundings.observations.violations.push_back(std::to_string(m_limitedArrivals.size())
            + " arrivals in 4 s at an upstream that names " + std::to_string(m_limit) + " a second");
}

} // namespace Ebonystack::Soak
