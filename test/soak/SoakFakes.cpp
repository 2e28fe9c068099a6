// The fake store and the fake upstreams of the soak.
#include "SoakFakes.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace Ebonystack::Soak {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds limitGrace { 3 };
constexpr std::chrono::seconds limitWindow { 4 };
/// After the first response of an upstream that says it is leaving, plus time for requests under way.
constexpr std::chrono::milliseconds drainTime { 2500 };

std::string response(int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string base64(const std::string& text)
{
    std::string encoded((text.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    encoded.resize(static_cast<std::size_t>(length));
    return encoded;
}

std::string field(const HttpRequest& request, const char* name)
{
    return std::string(request.head.fields.find(name).value_or(""));
}

} // namespace

FakeHttpServer::FakeHttpServer(
    boost::asio::io_context& io, const std::string& address, RequestHandler handler)
    : m_handler(std::move(handler))
    , m_acceptor(io, address, [this](auto socket) { accept(std::move(socket)); })
{
}

void FakeHttpServer::accept(boost::asio::ip::tcp::socket socket)
{
    auto stream = std::make_shared<ByteStream>(std::move(socket));
    auto parser = std::make_shared<RequestParser>(16384, 1 << 20);
    m_streams.insert(stream);
    const std::weak_ptr<ByteStream> weak = stream;
    const auto late = std::make_shared<std::string>();
    stream->start(
        [this, weak, parser, late](std::string_view bytes) {
            parser->feed(bytes);
            if (!parser->done())
                return;
            const HttpRequest request = parser->take();
            *parser = RequestParser(16384, 1 << 20);
            if (const auto connection = weak.lock())
                connection->write(std::exchange(*late, {}));
            m_handler(request, [this, weak, late](const std::string& response) {
                const auto connection = weak.lock();
                if (!connection)
                    return;
                if (m_repeatsLate())
                    *late = response;
                if (response.empty())
                    connection->close();
                else
                    connection->write(response);
            });
        },
        [this, weak](StreamEnd) { m_streams.erase(weak.lock()); });
}

void FakeHttpServer::closeConnections()
{
    for (const auto& stream : m_streams)
        stream->close();
    m_streams.clear();
}

FakeStore::FakeStore(boost::asio::io_context& io)
    : m_io(io)
    , m_server(
          io, "127.0.0.1:0", [this](const HttpRequest& request, FakeHttpServer::ResponseCallback respond) {
              handle(request, std::move(respond));
          })
{
}

void FakeStore::put(const std::string& key, const std::string& value)
{
    m_items[key] = { value, ++m_revision, false };
    onWritten();
}

void FakeStore::remove(const std::string& key)
{
    m_items[key] = { "", ++m_revision, true };
    onWritten();
}

void FakeStore::onWritten()
{
    m_copies.push_back({ std::chrono::steady_clock::now(), m_items, m_revision });
    notifyWatches();
}

void FakeStore::restore(std::chrono::steady_clock::duration age)
{
    const auto time = std::chrono::steady_clock::now() - age;
    while (m_copies.size() > 1 && m_copies.back().at > time)
        m_copies.pop_back();
    m_items = m_copies.back().items;
    m_revision = m_copies.back().revision;
    ++m_era;
    m_watches.clear();
    m_server.closeConnections();
}

std::string FakeStore::response(int status, const std::string& body) const
{
    return Soak::response(status, body, "Store-Era: " + std::to_string(m_era) + "\r\n");
}

void FakeStore::setDown(bool down)
{
    m_down = down;
    if (!down)
        return;
    m_watches.clear();
    m_server.closeConnections();
}

void FakeStore::handle(const HttpRequest& request, FakeHttpServer::ResponseCallback respond)
{
    if (m_down)
        return respond(response(503, ""));
    if (request.head.target.starts_with("/kv-range"))
        return respond(response(200, listing()));
    if (request.head.target.starts_with("/kv-key"))
        return respond(response(404, "")); // nodes read no single item, they only probe the store
    const auto at = request.head.target.find("&after=");
    const std::uint64_t after = std::stoull(request.head.target.substr(at + 7));
    if (after > m_revision)
        return respond(response(410, "{}"));
    if (after < m_revision)
        return respond(response(200, changesAfter(after)));
    const auto waitAt = request.head.target.find("&wait_ms=");
    const std::chrono::milliseconds wait(std::stoull(request.head.target.substr(waitAt + 9)));
    const std::uint64_t number = ++m_nextWatch;
    m_watches.push_back({ number, after, std::move(respond) });
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait([this, timer, number](const boost::system::error_code&) { endWatch(number); });
}

void FakeStore::endWatch(std::uint64_t number)
{
    const auto found = std::ranges::find(m_watches, number, &Watch::number);
    if (found == m_watches.end())
        return;
    const Watch watch = *found;
    m_watches.erase(found);
    watch.respond(response(200, changesAfter(watch.after)));
}

std::string FakeStore::listing() const
{
    Json items = Json::array();
    for (const auto& [key, item] : m_items) {
        if (!item.removed)
            items.push_back(
                { { "key", key }, { "value", base64(item.value) }, { "revision", item.revision } });
    }
    return Json { { "items", items }, { "has_more", false }, { "current_rev", m_revision } }.dump();
}

std::string FakeStore::changesAfter(std::uint64_t after) const
{
    Json events = Json::array();
    for (const auto& [key, item] : m_items) {
        if (item.revision <= after)
            continue;
        if (item.removed)
            events.push_back({ { "key", key }, { "revision", item.revision }, { "tombstone", true } });
        else
            events.push_back(
                { { "key", key }, { "value", base64(item.value) }, { "revision", item.revision } });
    }
    return Json { { "events", events }, { "current_rev", m_revision } }.dump();
}

void FakeStore::notifyWatches()
{
    const auto watches = std::exchange(m_watches, {});
    for (const Watch& watch : watches)
        watch.respond(response(200, changesAfter(watch.after)));
}

FakeUpstream::FakeUpstream(boost::asio::io_context& io, const std::string& address, std::string instance,
    UpstreamObservations& observations, std::uint64_t seed)
    : m_io(io)
    , m_instance(std::move(instance))
    , m_observations(observations)
    , m_random(seed)
    , m_server(io, address, [this](const HttpRequest& request, FakeHttpServer::ResponseCallback respond) {
        handle(request, std::move(respond));
    })
{
    m_server.setRepeatsLate([this] { return m_isRejecting && m_random.below(2) == 0; });
}

void FakeUpstream::handle(const HttpRequest& request, FakeHttpServer::ResponseCallback respond)
{
    constexpr std::uint64_t requestsPerLostConnection = 200;
    const std::string id = field(request, "Ebonystack-Attempt-Id");
    if (const std::string expected = field(request, "Ebonystack-Expect-Instance"); expected != m_instance)
        return respond(response(421, "", "Ebonystack-Attempt-Id: " + id + "\r\n"));
    if (request.head.fields.find("Authorization"))
        m_observations.violations.push_back("an API key reached the upstream with request " + id);
    if (field(request, "Ebonystack-Tenant") != "team"
        || field(request, "Ebonystack-Caller-Service") != "registry")
        m_observations.violations.push_back(
            "wrong team or calling service at the upstream with request " + id);
    if (m_isRejecting && m_random.below(3) == 0)
        return respond(
            response(503, "", "Ebonystack-Attempt-Id: " + id + "\r\nEbonystack-Not-Executed: 1\r\n"));
    ++m_observations.executions[id];
    checkArrival(id);
    const bool lost = m_random.below(requestsPerLostConnection) == 0;
    const bool isSlow = request.head.target.starts_with(slowPath);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_io, std::chrono::milliseconds(isSlow ? 500 + m_random.below(1000) : 3 + m_random.below(40)));
    timer->async_wait([this, timer, respond = std::move(respond), id, lost](
                          const boost::system::error_code&) {
        respond(lost
                ? ""
                : response(200, "ok:" + id,
                    "Ebonystack-Attempt-Id: " + id + "\r\nEbonystack-Server-Seal: s\r\n" + noticeFields()));
    });
}

void FakeUpstream::nameLimit(double requestsPerSecond)
{
    m_limit = requestsPerSecond;
    m_limitNamedAt.reset();
    m_limitedArrivals.clear();
}

void FakeUpstream::leave()
{
    m_leaving = true;
    m_leavingNamedAt.reset();
    m_lateArrivalsCount = true;
}

void FakeUpstream::startAgain()
{
    m_leaving = false;
    m_leavingNamedAt.reset();
    nameLimit(0);
}

std::string FakeUpstream::noticeFields()
{
    std::string fields;
    if (m_limit > 0) {
        fields += "Server-Limit: " + std::to_string(m_limit) + "\r\n";
        m_limitNamedAt = m_limitNamedAt.value_or(Clock::now());
    }
    if (m_leaving) {
        fields += "Server-Leaving: 1\r\n";
        m_leavingNamedAt = m_leavingNamedAt.value_or(Clock::now());
    }
    return fields;
}

void FakeUpstream::checkArrival(const std::string& id)
{
    const auto now = Clock::now();
    if (m_leavingNamedAt && m_lateArrivalsCount && now > *m_leavingNamedAt + drainTime)
        m_observations.violations.push_back("request " + id + " reached an upstream that was leaving");
    if (!m_limitNamedAt || now < *m_limitNamedAt + limitGrace)
        return;
    m_limitedArrivals.push_back(now);
    while (m_limitedArrivals.front() <= now - limitWindow)
        m_limitedArrivals.pop_front();
    const double tolerated = 1.5 * m_limit * static_cast<double>(limitWindow.count()) + 5;
    if (static_cast<double>(m_limitedArrivals.size()) > tolerated)
        m_observations.violations.push_back(std::to_string(m_limitedArrivals.size())
            + " arrivals in 4 s at an upstream that names " + std::to_string(m_limit) + " a second");
}

} // namespace Ebonystack::Soak
