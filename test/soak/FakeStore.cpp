// The fake store of the soak.
#include "FakeStore.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace Ebonystack::Soak {
namespace {

using Json = nlohmann::json;

/// Three heartbeats of an upstream.
constexpr std::chrono::milliseconds entryLifetime { 4500 };
constexpr std::chrono::milliseconds sweepPeriod { 20 };

std::string base64(const std::string& text)
{
    std::string encoded((text.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    encoded.resize(static_cast<std::size_t>(length));
    return encoded;
}

} // namespace

FakeStore::FakeStore(
    boost::asio::io_context& io, const std::vector<std::string>& addresses, HeartbeatEvents heartbeatEvents)
    : m_io(io)
    , m_heartbeatEvents(heartbeatEvents)
    , m_turnedAway(addresses.size(), StoreTrouble::None)
    , m_lapseTimer(io)
{
    for (std::uint64_t vm = 0; vm < addresses.size(); ++vm) {
        m_servers.push_back(std::make_unique<FakeHttpServer>(
            m_io, addresses[vm], [this, vm](const HttpRequest& request, Respond respond) {
                handle(vm, request, std::move(respond));
            }));
    }
    awaitLapses();
}

void FakeStore::put(const std::string& key, const std::string& value)
{
    m_items[key] = { value, ++m_revision, false, value };
    onWritten();
}

bool FakeStore::renewEntry(
    std::uint64_t vm, const std::string& key, const Json& entry, std::uint64_t sequence)
{
    if (!reaches(vm))
        return false;
    m_renewedAt[key] = Clock::now();
    const std::string changed = entry.dump();
    const auto known = m_items.find(key);
    const bool isChange = known == m_items.end() || known->second.removed || known->second.changed != changed;
    if (!isChange && m_heartbeatEvents == HeartbeatEvents::None)
        return true;
    Json value = entry;
    value["status"]["sequence"] = sequence;
    m_items[key] = { value.dump(), ++m_revision, false, changed };
    onWritten();
    return true;
}

bool FakeStore::removeEntry(std::uint64_t vm, const std::string& key)
{
    if (!reaches(vm))
        return false;
    expireEntry(key);
    return true;
}

void FakeStore::expireEntry(const std::string& key)
{
    m_renewedAt.erase(key);
    const auto found = m_items.find(key);
    if (found == m_items.end() || found->second.removed)
        return;
    found->second = { "", ++m_revision, true, "" };
    onWritten();
}

bool FakeStore::reaches(std::uint64_t vm) const { return troubleOf(vm) == StoreTrouble::None; }

StoreTrouble FakeStore::troubleOf(std::uint64_t vm) const
{
    return m_trouble != StoreTrouble::None ? m_trouble : m_turnedAway[vm];
}

void FakeStore::awaitLapses()
{
    m_lapseTimer.expires_after(sweepPeriod);
    m_lapseTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        endLapsed();
        awaitLapses();
    });
}

void FakeStore::endLapsed()
{
    const auto now = Clock::now();
    const auto sinceLast = now - std::exchange(m_lastSweep, now);
    const auto renewedAt = m_renewedAt;
    for (const auto& [key, at] : renewedAt) {
        if (m_trouble != StoreTrouble::None && !m_entriesLapse)
            m_renewedAt[key] += sinceLast;
        else if (now - at > entryLifetime)
            expireEntry(key);
    }
}

void FakeStore::onWritten()
{
    m_copies.push_back({ Clock::now(), m_items, m_revision });
    notifyWatches();
}

void FakeStore::restore(Clock::duration age)
{
    const auto time = Clock::now() - age;
    while (m_copies.size() > 1 && m_copies.back().at > time)
        m_copies.pop_back();
    m_items = m_copies.back().items;
    m_revision = m_copies.back().revision;
    ++m_era;
    m_renewedAt.clear();
    for (auto& [key, item] : m_items) {
        item.changed.clear(); // the first renewal writes the entry again
        if (key.starts_with("servers/") && !item.removed)
            m_renewedAt[key] = Clock::now();
    }
    m_watches.clear();
    for (const auto& server : m_servers)
        server->closeConnections();
}

std::string FakeStore::response(int status, const std::string& body) const
{
    return fakeResponse(status, body, "Store-Era: " + std::to_string(m_era) + "\r\n");
}

void FakeStore::setTrouble(StoreTrouble trouble, bool entriesLapse)
{
    m_trouble = trouble;
    m_entriesLapse = entriesLapse;
    for (std::uint64_t vm = 0; vm < m_servers.size(); ++vm)
        beginTrouble(vm);
}

void FakeStore::turnAway(std::uint64_t vm, StoreTrouble trouble)
{
    m_turnedAway[vm] = trouble;
    beginTrouble(vm);
}

void FakeStore::beginTrouble(std::uint64_t vm)
{
    const StoreTrouble trouble = troubleOf(vm);
    if (trouble == StoreTrouble::None)
        return;
    std::erase_if(m_watches, [&](const Watch& watch) { return watch.vm == vm; });
    if (trouble != StoreTrouble::NoAnswer)
        m_servers[vm]->closeConnections();
}

void FakeStore::handle(std::uint64_t vm, const HttpRequest& request, Respond respond)
{
    switch (troubleOf(vm)) {
    case StoreTrouble::None:
        break;
    case StoreTrouble::Unavailable:
        return respond(response(503, ""));
    case StoreTrouble::Closed:
        return respond("");
    case StoreTrouble::NoAnswer:
        return;
    }
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
    m_watches.push_back({ vm, number, after, std::move(respond) });
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

} // namespace Ebonystack::Soak
