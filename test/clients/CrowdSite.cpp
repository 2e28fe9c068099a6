// The nodes of a test with a crowd, and what surrounds them.
#include "CrowdSite.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Ebonystack::Clients {
namespace {

using namespace std::chrono_literals;

constexpr int peerPort = 21001;
constexpr int readyPort = 21002;
constexpr int upstreamPort = 21003;
constexpr int storePort = 21004;
constexpr auto workTime = 20ms;
constexpr auto renewalPeriod = 1500ms;
constexpr int slots = 40;
constexpr std::uint32_t maxHeaderBytes = 16384;
constexpr std::uint64_t maxBodyBytes = 64 << 20;
/// Of an endless response, written at once.
constexpr std::size_t endlessPartBytes = 256 << 10;
constexpr auto endlessPeriod = 5ms;
const std::string idField = "Ebonystack-Attempt-Id";

std::size_t bytesOf(const std::string& target) { return std::stoull(target.substr(target.find('/', 1) + 1)); }

} // namespace

CrowdUpstream::CrowdUpstream(boost::asio::io_context& io, const std::string& address)
    : m_io(io)
    , m_acceptor(io, address, [this](auto socket) { accept(std::move(socket)); })
{
}

void CrowdUpstream::accept(boost::asio::ip::tcp::socket socket)
{
    auto stream = std::make_shared<ByteStream>(std::move(socket), PeerLocation::SameVm);
    auto parser = std::make_shared<RequestParser>(maxHeaderBytes, maxBodyBytes);
    stream->start(
        [this, weak = std::weak_ptr(stream), parser](std::string_view bytes) {
            parser->feed(bytes);
            const Stream open = weak.lock();
            if (!open || !parser->done())
                return;
            const HttpRequest request = parser->take();
            *parser = RequestParser(maxHeaderBytes, maxBodyBytes);
            auto timer = std::make_shared<boost::asio::steady_timer>(m_io, workTime);
            timer->async_wait(
                [this, open, request, timer](const boost::system::error_code&) { respond(open, request); });
        },
        [](StreamEnd) {});
}

void CrowdUpstream::respond(const Stream& stream, const HttpRequest& request)
{
    const std::string fields = idField + ": " + std::string(request.head.fields.find(idField).value_or(""))
        + "\r\nEbonystack-Server-Seal: s\r\n";
    if (request.head.target.starts_with(endlessPath)) {
        stream->write("HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n");
        return goOnWithoutEnd(stream);
    }
    const std::size_t length = bytesOf(request.head.target);
    stream->write("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(length) + "\r\n\r\n");
    stream->writeBody(bodyOf(length));
}

const Body& CrowdUpstream::bodyOf(std::size_t length)
{
    const auto [found, isNew] = m_bodies.try_emplace(length);
    if (isNew)
        found->second = std::string(length, 'r');
    return found->second;
}

void CrowdUpstream::goOnWithoutEnd(const Stream& stream)
{
    if (!stream->isOpen() || stream->hasFailed())
        return;
    if (stream->unsent() == 0)
        stream->writeBody(bodyOf(endlessPartBytes));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, endlessPeriod);
    timer->async_wait([this, stream, timer](const boost::system::error_code&) { goOnWithoutEnd(stream); });
}

CrowdSite::CrowdSite(boost::asio::io_context& io, const std::string& sidecar, unsigned nodes,
    NodeLimits limits, unsigned network)
    : m_io(io)
    , m_network(network)
    , m_folder(std::filesystem::temp_directory_path() / ("ebony-clients-" + std::to_string(getpid())))
    , m_store(io, storeAddresses(nodes), Soak::HeartbeatEvents::None)
    , m_upstream(io, addressOf(nodes - 1, upstreamPort))
    , m_renewal(io)
{
    std::filesystem::create_directories(m_folder);
    putConfig();
    for (unsigned node = 0; node < nodes; ++node)
        startNode(sidecar, node, limits);
    renewEntry();
}

CrowdSite::~CrowdSite()
{
    m_nodes.clear();
    std::filesystem::remove_all(m_folder);
}

std::string CrowdSite::hostOf(unsigned node) const
{
    return "127.0." + std::to_string(m_network) + '.' + std::to_string(11 + node);
}

std::string CrowdSite::addressOf(unsigned node, int port) const
{
    return hostOf(node) + ':' + std::to_string(port);
}

std::vector<std::string> CrowdSite::storeAddresses(unsigned nodes) const
{
    std::vector<std::string> addresses;
    for (unsigned node = 0; node < nodes; ++node)
        addresses.push_back(addressOf(node, storePort));
    return addresses;
}

void CrowdSite::putConfig()
{
    const auto route = [](const std::string& prefix, const char* kind) {
        return nlohmann::json { { "host", "example" }, { "path_prefix", prefix }, { "route_kind", kind },
            { "timeout", "5000ms" }, { "target_latency", "1500ms" }, { "priority", 1 },
            { "service", "registry" }, { "max_attempts", 2 } };
    };
    m_store.put("op/config",
        nlohmann::json { { "version", "00000001" },
            { "routes",
                { { "answer", route(answerPath, "download") }, { "endless", route(endlessPath, "download") },
                    { "order", route(orderPath, "non_idempotent") } } },
            { "limits", { { "max_body_bytes", maxBodyBytes } } },
            { "tenants", { { "team", { { "api_keys", { "k" } } } } } } }
            .dump());
}

void CrowdSite::startNode(const std::string& sidecar, unsigned node, NodeLimits limits)
{
    const auto settings = m_folder / ("node-" + std::to_string(node) + ".json");
    std::ofstream(settings) << nlohmann::json { { "vm", hostOf(node) }, { "dataCentre", "a" },
        { "service", "registry" }, { "upstreamAddress", addressOf(node, upstreamPort) },
        { "callerAddress", addressOf(node, callerPort) }, { "readinessAddress", addressOf(node, readyPort) },
        { "storeAddress", addressOf(node, storePort) }, { "peerPort", peerPort },
        { "metricsPort", metricsPort }, { "memoryMegabytes", limits.memoryMegabytes },
        { "descriptors", limits.descriptors } };
    m_nodes.push_back(
        std::make_unique<ChildProcess>(std::vector<std::string> { sidecar, "--config", settings.string() },
            (m_folder / "nodes.log").string()));
}

void CrowdSite::renewEntry()
{
    const unsigned node = nodeCount() - 1;
    m_store.renewEntry(node, "servers/i-1",
        { { "address", addressOf(node, upstreamPort) }, { "born", 1 },
            { "info", { { "service", "registry" }, { "zone", "a" }, { "slots", slots } } },
            { "status", { { "state", "ready" }, { "cold_left", "0ms" } } } },
        ++m_sequence);
    m_renewal.expires_after(renewalPeriod);
    m_renewal.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            renewEntry();
    });
}

} // namespace Ebonystack::Clients
