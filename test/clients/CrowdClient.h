// A client that doesn't behave. It opens a new connection soon after it is refused or disconnected, and
// leaves the old one open until the node closes it.
#pragma once

#include "soak/PacedConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace Ebonystack::Clients {

class CrowdClient {
public:
    /// What a client does on each connection.
    using Behaviour = void (CrowdClient::*)();

    /// `bytes`: of each body.
    CrowdClient(
        boost::asio::io_context&, std::string address, std::string name, Behaviour, std::size_t bytes);

    void start() { connect(); }
    /// Opens no more connections. Closes those that are open if `closes` is set.
    void stop(bool closes);

    // Behaviours.

    /// Sends nothing.
    void staySilent() { }
    /// Sends a head without its end.
    void sendPartOfHead();
    /// Sends a body in chunks without the last one.
    void sendUnfinishedChunks();
    /// Sends a body with a length, but for its last byte.
    void sendAllButLastByte();
    /// Sends most of a body, and goes on a byte at a time. Names no deadline.
    void trickle();
    /// Sends a whole body, and reads its response.
    void sendWholeBody();
    /// Sends a whole body, and leaves while it is served.
    void sendAndLeave();
    /// Sends many requests at once.
    void pipeline();
    /// Reads a long response some bytes at a time.
    void readSlowly();
    /// Asks for a response without an end.
    void readEndless();
    /// Asks for pages of the metrics, and reads none.
    void askForPages();
    /// Some clients read slowly, the others send bodies of both kinds that stop short.
    void mix();

private:
    using Connection = std::shared_ptr<Soak::PacedConnection>;

    void connect();
    void onConnected(const Connection&);
    void onBytes(std::string_view);
    void comeBackLater();
    void closeLater(const Connection&);
    /// Calls `step` later if the client still has the same connection.
    void after(std::chrono::milliseconds, void (CrowdClient::*step)());
    std::string requestHead(const std::string& method, const std::string& path, const std::string& fields);
    void sendNextChunk();
    void sendNextByte();
    void readSome();
    void leave();
    void askForAnswer(const std::string& path);

    boost::asio::io_context& m_io;
    const std::string m_address;
    const std::string m_name;
    const Behaviour m_behaviour;
    const std::size_t m_bytes;
    std::set<Connection> m_open; // m_connection and those that the node has not closed yet
    Connection m_connection; // the newest
    std::uint64_t m_connections { 0 };
    std::uint64_t m_requests { 0 };
    std::size_t m_sent { 0 }; // bytes of the body
    bool m_comesBack { false }; // soon
    bool m_readsSlowly { false };
    bool m_isStopped { false };
};

} // namespace Ebonystack::Clients
