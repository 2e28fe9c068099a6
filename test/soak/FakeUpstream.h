// A fake upstream of the soak. It keeps its entry in the store and records what it executed.
#pragma once

#include "AnswerCheck.h"
#include "DrainCheck.h"
#include "FakeHttpServer.h"
#include "FakeStore.h"
#include "state/RandomSource.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack::Soak {

/// What the upstreams of a run saw.
struct UpstreamObservations {
    std::map<std::string, int> executions; ///< how often each request ran, by its id
    std::vector<std::string> violations;
};

/// What surrounds the upstreams of a run.
struct UpstreamSurroundings {
    boost::asio::io_context& io;
    FakeStore& store;
    DrainCheck& drainCheck;
    AnswerCheck& answerCheck;
    UpstreamObservations& observations;
    RunLog& log;
};

/// Requests on this path take the upstream about a second.
constexpr auto slowPath = "/s/";
/// The response has as many bytes as the path's next part says, and a little more.
constexpr auto bulkPath = "/b/";
/// The response begins before the request has been read, has no length, and may be cut off.
constexpr auto unframedPath = "/u/";
/// Requests with long bodies.
constexpr auto longPath = "/l/";

/// How an upstream tells the store that it leaves.
enum class LeavingNews {
    Draining, ///< its entry says so
    Removal, ///< its entry is removed
};

/// An upstream that responds after a random time, or at random, for one request in 200 on average, closes the
/// connection instead.
class FakeUpstream {
public:
    FakeUpstream(const UpstreamSurroundings&, std::uint64_t vm, std::string address, std::uint64_t seed);
    /// Begins another run, which is not leaving.
    void start();
    /// Loses power; its entry stays until it lapses.
    void endAtOnce();
    /// Resets its connections and starts again after `pause`; its entry stays until it lapses.
    void crash(Clock::duration pause);
    /// Tells the store that it is leaving, as soon as the store accepts that. Then it serves for the drain
    /// time and `extra`, ends, and starts again after `pause`.
    void leave(LeavingNews, Clock::duration extra, Clock::duration pause);
    bool isLeaving() const { return m_news.has_value(); }
    bool runs() const { return m_runs; }
    void removeEntry();
    std::string entryKey() const { return "servers/" + m_instance; }

    void closeConnections();
    /// While set, rejects one request in three without running it, and repeats one response in two late.
    void setRejecting(bool isRejecting) { m_isRejecting = isRejecting; }
    /// Names a limit in all responses from now on, in requests per second; 0 names none.
    void nameLimit(double requestsPerSecond);
    /// Says in all responses from now on that the upstream is leaving.
    void sayLeaving();
    /// The node beside the upstream may forget what the upstream says, from now on or, once it is not
    /// disturbed any more, until the upstream says it again.
    void setNodeDisturbed(bool isDisturbed);

private:
    void handle(const HttpRequest&, FakeHttpServer::ResponseCallback);
    bool beginEarly(const HttpRequest&, std::size_t bytesLeft, const std::shared_ptr<PacedConnection>&);
    void endEarly(const std::string& id, std::size_t bytesLeft, const std::string& rest,
        const std::shared_ptr<PacedConnection>&);
    bool isForThisRun(const HttpRequest&) const;
    /// The request has passed the checks that need no run.
    void beginRun(const std::string& id);
    void checkFields(const HttpRequest&, const std::string& id);
    std::string bodyFor(const HttpRequest&, const std::string& id) const;
    void checkArrival(const std::string& id);
    /// The fields of a response in which the upstream speaks of itself.
    std::string noticeFields(bool heardByNode);

    void after(Clock::duration, void (FakeUpstream::*step)());
    void tendEntry();
    /// Returns whether the store has accepted it.
    bool writeEntry();
    void onLeavingAccepted(Clock::time_point at);
    void end();

    const UpstreamSurroundings m_surroundings;
    const std::uint64_t m_vm;
    const std::string m_address;
    std::string m_instance;
    std::uint64_t m_run { 0 }; // counts ends too; timers of earlier runs do nothing
    std::uint64_t m_startedAt { 0 };
    std::uint64_t m_sequence { 0 };
    bool m_runs { false };
    bool m_isCutOff { false }; // from the store
    Clock::time_point m_reachedAgainAt; // when it last was cut off no more
    std::optional<LeavingNews> m_news;
    bool m_isAcknowledged { false }; // that it leaves
    Clock::duration m_extra {};
    Clock::duration m_pause {};

    double m_limit { 0 };
    bool m_isRejecting { false };
    bool m_saysLeaving { false };
    bool m_nodeIsDisturbed { false };
    std::uint64_t m_nodePeriod { 0 }; // incremented with each disturbance of the node
    std::optional<Clock::time_point> m_limitNamedAt; // the first response with it
    std::optional<Clock::time_point> m_leavingNamedAt; // the first response that the node can't have missed
    std::deque<Clock::time_point> m_limitedArrivals; // within the last limitWindow
    RandomSource m_random;
    RandomSource m_earlyRandom; // its own, so that seeds keep their other faults
    FakeHttpServer m_server;
};

} // namespace Ebonystack::Soak
