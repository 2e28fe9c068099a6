// The callers of a soak. They keep connections open for many requests; some read slowly.
#pragma once

#include "AnswerCheck.h"
#include "PacedConnection.h"
#include "state/RandomSource.h"
#include "transport/HttpCodec.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack::Soak {

enum class Reading {
    AtOnce,
    Steady, ///< a little at a time, for about 3 s
    Halting, ///< a fifth, and the rest 3 s or more later
};

struct CallerRequest {
    std::string address; // of the node
    std::string id;
    std::string path;
    std::chrono::milliseconds deadline;
    std::size_t bodyBytes { 0 }; // of the content in its body; 0: no body
    bool closes { false }; // says that the connection is for this request only
    Reading reading { Reading::AtOnce };
    std::size_t responseBytes { 0 }; // of the content in the response, if it is read slowly
};

/// A connection is used again until the node closes it or ends, but for a few that the caller closes, and
/// those of slow readers.
class SoakCallers {
public:
    using OnResponse = std::function<void(const std::string& id, const HttpResponse&)>;
    /// Called with bytes that came while no request was waiting.
    using OnStray = std::function<void(std::string_view bytes)>;

    SoakCallers(boost::asio::io_context&, std::uint64_t seed, AnswerCheck&, OnResponse, OnStray);
    void send(const CallerRequest&);
    std::uint64_t connectionCount() const { return m_connectionCount; }

private:
    struct Connection {
        std::shared_ptr<PacedConnection> stream;
        CallerRequest request; // the last one
        std::optional<ResponseParser> parser; // set while a request waits
        std::size_t received { 0 }; // of its response
        bool hasHalted { false };
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void startConnection(const CallerRequest&);
    void sendOn(const ConnectionPointer&, const CallerRequest&);
    void onBytes(const ConnectionPointer&, std::string_view);
    void paceReading(const ConnectionPointer&);
    void pause(const ConnectionPointer&, std::chrono::milliseconds, std::size_t maxBytes);
    void finish(const ConnectionPointer&, bool mayReuse);
    void onEnd(const ConnectionPointer&, ConnectionEnd);

    boost::asio::io_context& m_io;
    RandomSource m_random;
    RandomSource m_pauseRandom;
    AnswerCheck& m_answerCheck;
    OnResponse m_onResponse;
    OnStray m_onStray;
    std::map<std::string, std::vector<ConnectionPointer>> m_idle; // by the node's address
    std::uint64_t m_connectionCount { 0 };
};

} // namespace Ebonystack::Soak
