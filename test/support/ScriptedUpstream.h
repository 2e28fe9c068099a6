// An upstream on loopback whose responses the test scripts: the bytes of each, and whether the connection is
// closed after it.
#pragma once

#include "transport/ByteStream.h"
#include "transport/HttpCodec.h"
#include "transport/StreamAcceptor.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Ebonystack::Testing {

/// The upstream's reaction to a request.
struct ScriptedResponse {
    std::string bytes;
    bool closesConnection { false };
    bool silent { false }; ///< neither responds nor closes the connection

    auto operator<=>(const ScriptedResponse&) const = default;
};

class ScriptedUpstream {
public:
    using Script = std::function<ScriptedResponse(const HttpRequest&)>;

    ScriptedUpstream(boost::asio::io_context& io, Script script)
        : m_script(std::move(script))
        , m_acceptor(io, "127.0.0.1:0", [this](auto socket) { accept(std::move(socket)); })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.port()); }
    const std::vector<HttpRequest>& requests() const { return m_requests; }
    std::size_t connections() const { return m_streams.size(); }
    /// Closes all connections, as an upstream closes idle ones.
    void closeAll()
    {
        for (const auto& stream : m_streams)
            stream->close();
    }

private:
    void accept(boost::asio::ip::tcp::socket socket)
    {
        auto stream = std::make_shared<ByteStream>(std::move(socket), PeerLocation::SameVm);
        auto parser = std::make_shared<RequestParser>(16384, 1 << 20);
        m_streams.push_back(stream);
        stream->start(
            [this, weak = std::weak_ptr<ByteStream>(stream), parser](std::string_view bytes) {
                parser->feed(bytes);
                if (!parser->done())
                    return;
                m_requests.push_back(parser->take());
                *parser = RequestParser(16384, 1 << 20);
                const ScriptedResponse response = m_script(m_requests.back());
                const auto lockedStream = weak.lock();
                if (!lockedStream || response.silent)
                    return;
                lockedStream->write(response.bytes);
                if (response.closesConnection)
                    lockedStream->closeAfterWriting();
            },
            [](StreamEnd) {});
    }

    Script m_script;
    std::vector<std::shared_ptr<ByteStream>> m_streams;
    std::vector<HttpRequest> m_requests;
    StreamAcceptor m_acceptor;
};

/// A response to the request with a seal, in the header fields that SimplePlatformAdapter uses.
inline std::string sealedResponse(const HttpRequest& request, std::string_view body = "ok")
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(request.head.fields.find("X-Id").value_or(""))
        + "\r\nX-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

} // namespace Ebonystack::Testing
