// One or two real nodes, the platform's store, and the upstream beside the last node.
#pragma once

#include "process/ChildProcess.h"
#include "soak/FakeStore.h"
#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"
#include "transport/StreamAcceptor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Ebonystack::Clients {

/// Of each node, from its settings.
struct NodeLimits {
    unsigned memoryMegabytes { 64 };
    unsigned descriptors { 1000 };

    auto operator<=>(const NodeLimits&) const = default;
};

/// Paths of requests, by what the upstream does. A path is followed by a number of bytes and a slash.
inline const std::string answerPath = "/answer/"; ///< responds with so many bytes
inline const std::string endlessPath = "/endless/"; ///< responds without a length and without an end
inline const std::string orderPath = "/order/"; ///< the same as answerPath, of a non-idempotent route

/// Serves every request after a short time, each on a connection of its own.
class CrowdUpstream {
public:
    CrowdUpstream(boost::asio::io_context&, const std::string& address);

private:
    using Stream = std::shared_ptr<ByteStream>;

    void accept(boost::asio::ip::tcp::socket);
    void respond(const Stream&, const HttpRequest&);
    void goOnWithoutEnd(const Stream&);
    /// The body of all responses of this length.
    const Body& bodyOf(std::size_t length);

    boost::asio::io_context& m_io;
    std::map<std::size_t, Body> m_bodies; // by length
    StreamAcceptor m_acceptor;
};

class CrowdSite {
public:
    /// Starts the nodes. `network`: third number of the loopback addresses.
    CrowdSite(
        boost::asio::io_context&, const std::string& sidecar, unsigned nodes, NodeLimits, unsigned network);
    ~CrowdSite();

    /// Of the node that the crowd uses.
    std::string callerAddress() const { return addressOf(0, callerPort); }
    /// Likewise.
    std::string metricsAddress() const { return addressOf(0, metricsPort); }
    std::string hostOf(unsigned node) const;
    unsigned nodeCount() const { return static_cast<unsigned>(m_nodes.size()); }
    ChildProcess& node(unsigned index) { return *m_nodes[index]; }

private:
    static constexpr int callerPort = 21000;
    static constexpr int metricsPort = 21005;

    std::string addressOf(unsigned node, int port) const;
    std::vector<std::string> storeAddresses(unsigned nodes) const;
    void putConfig();
    void startNode(const std::string& sidecar, unsigned node, NodeLimits);
    void renewEntry();

    boost::asio::io_context& m_io;
    const unsigned m_network;
    const std::filesystem::path m_folder;
    Soak::FakeStore m_store;
    CrowdUpstream m_upstream;
    std::vector<std::unique_ptr<ChildProcess>> m_nodes;
    boost::asio::steady_timer m_renewal;
    std::uint64_t m_sequence { 0 };
};

} // namespace Ebonystack::Clients
