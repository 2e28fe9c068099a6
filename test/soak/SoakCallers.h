// The callers of a soak. They keep connections open for many requests.
#pragma once

#include "state/RandomSource.h"
#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Ebonystack::Soak {

struct CallerRequest {
    std::string address; // of the node
    std::string id;
    std::string path;
    std::chrono::milliseconds deadline;
};

/// A connection is used again until the node closes it or ends, but for a few that the caller closes.
class SoakCallers {
public:
    using OnResponse = std::function<void(const std::string& id, const HttpResponse&)>;
    /// Called with bytes that came while no request was waiting.
    using OnStray = std::function<void(std::string_view bytes)>;

    SoakCallers(boost::asio::io_context&, std::uint64_t seed, OnResponse, OnStray);
    void send(const CallerRequest&);
    std::uint64_t connectionCount() const { return m_connectionCount; }

private:
    struct Connection {
        std::shared_ptr<ByteStream> stream;
        std::string address;
        std::string pending; // the id of the request that waits for its response
        std::optional<ResponseParser> parser; // set while a request waits
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void startConnection(const CallerRequest&);
    void sendOn(const ConnectionPointer&, const CallerRequest&);
    void onBytes(const ConnectionPointer&, std::string_view);
    void forget(const ConnectionPointer&);

    boost::asio::io_context& m_io;
    RandomSource m_random;
    OnResponse m_onResponse;
    OnStray m_onStray;
    std::map<std::string, std::vector<ConnectionPointer>> m_idle; // by the node's address
    std::uint64_t m_connectionCount { 0 };
};

} // namespace Ebonystack::Soak
