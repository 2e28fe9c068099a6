// The behaviours of a crowd's clients.
#include "CrowdClient.h"

#include "CrowdSite.h"

#include <algorithm>
#include <array>

namespace Ebonystack::Clients {
namespace {

using namespace std::chrono_literals;

constexpr auto connectTimeout = 2s;
constexpr auto returnTime = 100ms;
constexpr auto stayTime = 2s;
constexpr std::size_t chunkBytes = 60'000;
constexpr auto chunkPeriod = 10ms;
constexpr std::size_t trickledBytes = 1000; // the last ones of a body
constexpr auto tricklePeriod = 800ms;
constexpr auto leaveTime = 30ms;
constexpr int pipelinedRequests = 30;
constexpr int smallReceiveBuffer = 4096;
constexpr std::size_t slowReadBytes = 8;
constexpr auto slowReadPeriod = 500ms;
constexpr auto pagePeriod = 10ms;
constexpr std::size_t partOfHeadBytes = 14'000;
const std::string deadlineField = "Ebonystack-Deadline-Ms: 5000\r\n";

} // namespace

CrowdClient::CrowdClient(boost::asio::io_context& io, std::string address, std::string name,
    Behaviour behaviour, std::size_t bytes)
    : m_io(io)
    , m_address(std::move(address))
    , m_name(std::move(name))
    , m_behaviour(behaviour)
    , m_bytes(bytes)
{
}

void CrowdClient::stop(bool closes)
{
    m_isStopped = true;
    if (!closes)
        return;
    for (const Connection& connection : m_open)
        connection->close();
    m_open.clear();
    m_connection.reset();
}

void CrowdClient::connect()
{
    m_comesBack = false;
    if (m_isStopped)
        return;
    Soak::connectPaced(
        m_io, m_address, connectTimeout, smallReceiveBuffer, [this](const Connection& connection) {
            if (!connection)
                return comeBackLater();
            onConnected(connection);
        });
}

void CrowdClient::onConnected(const Connection& connection)
{
    if (m_isStopped)
        return;
    m_connection = connection;
    m_open.insert(connection);
    ++m_connections;
    m_sent = 0;
    m_readsSlowly = false;
    const std::weak_ptr<Soak::PacedConnection> weak = connection;
    connection->start(
        [this, weak](std::string_view bytes) {
            if (const auto current = weak.lock(); current && current == m_connection)
                onBytes(bytes);
        },
        [this, weak](Soak::ConnectionEnd) {
            const Connection ended = weak.lock();
            m_open.erase(ended);
            if (ended == m_connection)
                comeBackLater();
        });
    (this->*m_behaviour)();
}

void CrowdClient::onBytes(std::string_view bytes)
{
    if (m_readsSlowly) {
        m_connection->pauseReading();
        return after(slowReadPeriod, &CrowdClient::readSome);
    }
    if (m_behaviour == &CrowdClient::readEndless && bytes.starts_with("HTTP/1.1 200"))
        return;
    m_connection->pauseReading(); // so that the end of the node's side is not noticed
    closeLater(m_connection);
    comeBackLater();
}

void CrowdClient::comeBackLater()
{
    if (m_isStopped || std::exchange(m_comesBack, true))
        return;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, returnTime);
    timer->async_wait([this, timer](const boost::system::error_code&) { connect(); });
}

void CrowdClient::closeLater(const Connection& connection)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, stayTime);
    timer->async_wait([this, timer, connection](const boost::system::error_code&) {
        m_open.erase(connection);
        connection->close();
    });
}

void CrowdClient::after(std::chrono::milliseconds delay, void (CrowdClient::*step)())
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    timer->async_wait([this, timer, step, connection = m_connections](const boost::system::error_code&) {
        if (m_connection && m_open.contains(m_connection) && connection == m_connections && !m_comesBack)
            (this->*step)();
    });
}

std::string CrowdClient::requestHead(
    const std::string& method, const std::string& path, const std::string& fields)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: example\r\nEbonystack-Attempt-Id: " + m_name + '-'
        + std::to_string(++m_requests) + "\r\nAuthorization: Bearer k\r\n" + fields + "\r\n";
}

void CrowdClient::sendPartOfHead()
{
    std::string head
        = requestHead("GET", answerPath + "100/", "X-Filler: " + std::string(partOfHeadBytes, 'f'));
    head.resize(head.size() - 2);
    m_connection->write(head);
}

void CrowdClient::sendUnfinishedChunks()
{
    m_connection->write(
        requestHead("POST", orderPath + "100/", deadlineField + "Transfer-Encoding: chunked\r\n"));
    sendNextChunk();
}

void CrowdClient::sendNextChunk()
{
    const std::size_t length = std::min(chunkBytes, m_bytes - m_sent);
    if (length == 0)
        return;
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", length);
    m_connection->write(size.data() + std::string(length, 'c') + "\r\n");
    m_sent += length;
    after(chunkPeriod, &CrowdClient::sendNextChunk);
}

void CrowdClient::sendAllButLastByte()
{
    m_connection->write(requestHead("POST", orderPath + "100/",
                            deadlineField + "Content-Length: " + std::to_string(m_bytes) + "\r\n")
        + std::string(m_bytes - 1, 'b'));
}

void CrowdClient::trickle()
{
    m_connection->write(
        requestHead("POST", orderPath + "100/", "Content-Length: " + std::to_string(m_bytes) + "\r\n")
        + std::string(m_bytes - trickledBytes, 't'));
    sendNextByte();
}

void CrowdClient::sendNextByte()
{
    m_connection->write("t");
    after(tricklePeriod, &CrowdClient::sendNextByte);
}

void CrowdClient::sendWholeBody()
{
    m_connection->write(requestHead("POST", orderPath + "100/",
                            deadlineField + "Content-Length: " + std::to_string(m_bytes) + "\r\n")
        + std::string(m_bytes, 'w'));
}

void CrowdClient::sendAndLeave()
{
    sendWholeBody();
    after(leaveTime, &CrowdClient::leave);
}

void CrowdClient::leave()
{
    m_open.erase(m_connection);
    m_connection->close();
    comeBackLater();
}

void CrowdClient::pipeline()
{
    for (int i = 0; i < pipelinedRequests; ++i)
        m_connection->write(requestHead("GET", answerPath + std::to_string(m_bytes) + '/', deadlineField));
    m_readsSlowly = true;
}

void CrowdClient::askForAnswer(const std::string& path)
{
    m_connection->write(requestHead("GET", path + std::to_string(m_bytes) + '/', deadlineField));
}

void CrowdClient::readSlowly()
{
    askForAnswer(answerPath);
    m_readsSlowly = true;
}

void CrowdClient::readSome() { m_connection->resumeReading(slowReadBytes); }

void CrowdClient::readEndless() { askForAnswer(endlessPath); }

void CrowdClient::askForPages()
{
    m_connection->pauseReading();
    m_connection->write("GET /metrics HTTP/1.1\r\nHost: example\r\n\r\n");
    after(pagePeriod, &CrowdClient::askForPages);
}

void CrowdClient::mix()
{
    static constexpr std::array<Behaviour, 3> all { &CrowdClient::readSlowly,
        &CrowdClient::sendUnfinishedChunks, &CrowdClient::sendAllButLastByte };
    (this->*all[std::hash<std::string> {}(m_name) % all.size()])();
}

} // namespace Ebonystack::Clients
