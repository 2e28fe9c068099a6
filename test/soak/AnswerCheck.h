// Checks that callers get the responses of requests that an upstream has run, also beside planned stops,
// changes of the store and slow reading.
#pragma once

#include "Disturbances.h"
#include "RunLog.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack::Soak {

/// The setting `grace` of the nodes.
constexpr std::chrono::milliseconds graceTime { 4000 };

class AnswerCheck {
public:
    AnswerCheck(std::uint64_t vms, RunLog&);

    /// What happens to a VM's node without a plan.
    Disturbances& unplanned(std::uint64_t vm) { return m_unplanned[vm]; }
    void onStop(std::uint64_t vm);
    void onStart(std::uint64_t vm);
    /// The upstream has broken off the requests that it had, and responses that it had just sent.
    void onBrokenOff(std::uint64_t vm) { m_brokenOffAt[vm] = Clock::now(); }

    /// `isOwed`: its response must come once its upstream has sent it. `readsSlowly`: the caller takes time
    /// to read it.
    void onSent(const std::string& request, std::uint64_t vm, Clock::duration deadline, bool isOwed,
        bool readsSlowly);
    void onRun(const std::string& request, std::uint64_t upstreamVm);
    /// The upstream has sent the whole response.
    void onAnswered(const std::string& request);
    /// The system of a slow caller has room for the rest of the response.
    void onAlmostRead(const std::string& request);
    void onResponse(const std::string& request, int status);
    /// The node has ended the connection before there was a whole response.
    void onCutOff(const std::string& request);
    /// The caller has given up at the deadline.
    void onGivenUp(const std::string& request);
    /// The process of the VM's node has ended.
    void onNodeEnded(std::uint64_t vm);

    /// Also judges requests that ended before it was known that they run.
    std::vector<std::string> violations() const;
    int owedCount() const { return m_owedCount; }
    int excusedCount() const { return m_excusedCount; }

private:
    struct Request {
        std::uint64_t vm;
        Clock::time_point sentAt;
        Clock::time_point deadline;
        bool isOwed;
        bool isAlmostRead; // nothing is left to the node's system
        std::optional<std::uint64_t> upstreamVm {}; // once it runs
        Clock::time_point ranAt {};
        std::optional<Clock::time_point> answeredAt {};
        bool isOver { false };
        bool isCutOff { false }; // without an excuse
    };

    Request* find(const std::string& request);
    /// Why the entry node may end the connection now; empty if it may not.
    std::string excuseOfEntry(const Request&) const;
    /// Why the response may not come, too.
    std::string excuseOfResponse(const Request&) const;
    void judgeMissing(const std::string& id, const Request&, const std::string& seen);

    RunLog& m_log;
    std::vector<Disturbances> m_unplanned; // by VM
    std::vector<std::optional<Clock::time_point>> m_stopAt; // since the node's start
    std::vector<std::optional<Clock::time_point>> m_brokenOffAt;
    std::map<std::string, Request> m_requests; // by id
    std::vector<std::string> m_violations;
    int m_owedCount { 0 }; // owed ones that were answered
    int m_excusedCount { 0 };
};

} // namespace Ebonystack::Soak
