// A fake of the platform's store: entries of upstreams that lapse, listings, watches and troubles.
#pragma once

#include "Disturbances.h"
#include "FakeHttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Ebonystack::Soak {

/// How upstreams' renewals of their entries show.
enum class HeartbeatEvents {
    Each, ///< each one changes the entry
    None, ///< an entry changes when more than its `sequence` changes
};

/// How the store treats calls.
enum class StoreTrouble {
    None,
    Unavailable, ///< status 503; connections are closed as it begins
    Closed, ///< connections are closed
    NoAnswer, ///< no response, nor later on the same connection
};

/// Items with revisions. It listens at one address for each VM, so that it can turn away single VMs.
class FakeStore {
public:
    using Respond = std::function<void(const std::string& bytes)>;

    FakeStore(boost::asio::io_context&, const std::vector<std::string>& addresses, HeartbeatEvents);

    /// Written by the operator, whom no trouble hinders.
    void put(const std::string& key, const std::string& value);
    /// Written by the upstream in this VM; returns whether the store has accepted it. `sequence` is put into
    /// the status of `entry`.
    bool renewEntry(
        std::uint64_t vm, const std::string& key, const nlohmann::json& entry, std::uint64_t sequence);
    bool removeEntry(std::uint64_t vm, const std::string& key);
    bool hasEntry(const std::string& key) const { return m_renewedAt.contains(key); }
    /// The entry is removed, whatever its upstream does.
    void expireEntry(const std::string& key);
    bool reaches(std::uint64_t vm) const;

    /// For all VMs. `entriesLapse`: also while the trouble lasts.
    void setTrouble(StoreTrouble, bool entriesLapse);
    /// For one VM.
    void turnAway(std::uint64_t vm, StoreTrouble);
    /// Comes back from a copy of this age: what was written since is lost, and a new era begins.
    void restore(Clock::duration age);
    /// The pending watches are never answered; their connections stay open.
    void silenceWatches() { m_watches.clear(); }

private:
    struct Item {
        std::string value;
        std::uint64_t revision;
        bool removed;
        std::string changed; // the value without its sequence
    };
    /// The items after a write.
    struct Copy {
        Clock::time_point at;
        std::map<std::string, Item> items;
        std::uint64_t revision;
    };
    struct Watch {
        std::uint64_t vm;
        std::uint64_t number;
        std::uint64_t after;
        Respond respond;
    };

    StoreTrouble troubleOf(std::uint64_t vm) const;
    void beginTrouble(std::uint64_t vm);
    void handle(std::uint64_t vm, const HttpRequest&, Respond);
    std::string listing() const;
    std::string changesAfter(std::uint64_t) const;
    void notifyWatches();
    void onWritten();
    void endWatch(std::uint64_t number);
    void awaitLapses();
    void endLapsed();
    std::string response(int status, const std::string& body) const;

    boost::asio::io_context& m_io;
    const HeartbeatEvents m_heartbeatEvents;
    std::map<std::string, Item> m_items;
    std::map<std::string, Clock::time_point> m_renewedAt; // of the upstreams' entries
    std::vector<Copy> m_copies; // one for each write of the run
    std::vector<Watch> m_watches;
    std::uint64_t m_nextWatch { 0 };
    std::uint64_t m_revision { 1 };
    std::uint64_t m_era { 1 };
    StoreTrouble m_trouble { StoreTrouble::None };
    bool m_entriesLapse { true };
    Clock::time_point m_lastSweep { Clock::now() };
    std::vector<StoreTrouble> m_turnedAway; // by VM
    boost::asio::steady_timer m_lapseTimer;
    std::vector<std::unique_ptr<FakeHttpServer>> m_servers; // by VM
};

} // namespace Ebonystack::Soak
