// Fakes of what surrounds the sidecars in the soak: the platform's store, and upstreams that record what they
// executed.
#pragma once

#include "state/RandomSource.h"
#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"
#include "transport/StreamAcceptor.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Ebonystack::Soak {

/// Serves requests on many connections. The handler may respond later; an empty response closes the
/// connection.
class FakeHttpServer {
public:
    using ResponseCallback = std::function<void(const std::string& bytes)>;
    using RequestHandler = std::function<void(const HttpRequest&, ResponseCallback)>;

    FakeHttpServer(boost::asio::io_context&, const std::string& address, RequestHandler handler);
    std::uint16_t port() const { return m_acceptor.port(); }
    void closeConnections();
    /// Decides about each response whether it is sent once more, when the next one is expected on its
    /// connection.
    void setRepeatsLate(std::function<bool()> repeatsLate) { m_repeatsLate = std::move(repeatsLate); }

private:
    void accept(boost::asio::ip::tcp::socket);

    RequestHandler m_handler;
    std::function<bool()> m_repeatsLate { [] { return false; } };
    std::set<std::shared_ptr<ByteStream>> m_streams;
    StreamAcceptor m_acceptor;
};

/// The platform's store: items with revisions, listings and watches.
class FakeStore {
public:
    explicit FakeStore(boost::asio::io_context&);

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// While down it responds with 503. Going down closes all connections, those of watches included.
    void setDown(bool down);
    /// Comes back from a copy of this age: what was written since is lost, and a new era begins.
    void restore(std::chrono::steady_clock::duration age);
    /// The pending watches are never answered; their connections stay open.
    void silenceWatches() { m_watches.clear(); }

private:
    struct Item {
        std::string value;
        std::uint64_t revision;
        bool removed;
    };
    /// The items after a write.
    struct Copy {
        std::chrono::steady_clock::time_point at;
        std::map<std::string, Item> items;
        std::uint64_t revision;
    };
    struct Watch {
        std::uint64_t number;
        std::uint64_t after;
        FakeHttpServer::ResponseCallback respond;
    };

    void handle(const HttpRequest&, FakeHttpServer::ResponseCallback);
    std::string listing() const;
    std::string changesAfter(std::uint64_t) const;
    void notifyWatches();
    void onWritten();
    void endWatch(std::uint64_t number);
    std::string response(int status, const std::string& body) const;

    boost::asio::io_context& m_io;
    std::map<std::string, Item> m_items;
    std::vector<Copy> m_copies; // one for each write of the run
    std::vector<Watch> m_watches;
    std::uint64_t m_nextWatch { 0 };
    std::uint64_t m_revision { 1 };
    std::uint64_t m_era { 1 };
    bool m_down { false };
    FakeHttpServer m_server;
};

/// What the upstreams of a run saw.
struct UpstreamObservations {
    std::map<std::string, int> executions; ///< how often each request ran, by its id
    std::vector<std::string> violations;
};

/// Requests on this path take the upstream about a second.
constexpr auto slowPath = "/s/";

/// An upstream that responds after a random time, or at random, for one request in 200 on average, closes the
/// connection instead.
class FakeUpstream {
public:
    FakeUpstream(boost::asio::io_context&, const std::string& address, std::string instance,
        UpstreamObservations&, std::uint64_t seed);
    void closeConnections() { m_server.closeConnections(); }
    /// While set, rejects one request in three without running it, and repeats one response in two late.
    void setRejecting(bool isRejecting) { m_isRejecting = isRejecting; }
    /// Names a limit in all responses from now on, in requests per second; 0 names none.
    void nameLimit(double requestsPerSecond);
    /// Says in all responses from now on that the upstream is leaving.
    void leave();
    /// Becomes another run of the upstream, which is not leaving.
    void startAgain();
    /// The node beside the upstream may have forgotten that it is leaving.
    void excuseLateArrivals() { m_lateArrivalsCount = false; }

private:
    using Clock = std::chrono::steady_clock;

    void handle(const HttpRequest&, FakeHttpServer::ResponseCallback);
    void checkArrival(const std::string& id);
    /// The fields of a response in which the upstream speaks of itself.
    std::string noticeFields();

    boost::asio::io_context& m_io;
    std::string m_instance;
    double m_limit { 0 };
    bool m_isRejecting { false };
    bool m_leaving { false };
    bool m_lateArrivalsCount { false };
    std::optional<Clock::time_point> m_limitNamedAt; // the first response with it
    std::optional<Clock::time_point> m_leavingNamedAt;
    std::deque<Clock::time_point> m_limitedArrivals; // within the last limitWindow
    UpstreamObservations& m_observations;
    RandomSource m_random;
    FakeHttpServer m_server;
};

} // namespace Ebonystack::Soak
