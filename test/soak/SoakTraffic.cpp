// Slow readers around stops, responses that crashes cut off, and long bodies.
#include "SoakTraffic.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace Ebonystack::Soak {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kilobyte = 1000;
constexpr std::size_t mebibyte = 1 << 20;
constexpr auto bulkDeadline = 8000ms; // longer than any slow reading
constexpr auto bodyDeadline = 5000ms;
constexpr int readersOfVm = 4;
constexpr int requestsPerCrash = 6;

} // namespace

struct SoakTraffic::NamedKind {
    std::string name;
    Kind kind;
    bool isInMix;
};

const std::vector<SoakTraffic::NamedKind>& SoakTraffic::kinds()
{
    static const std::vector<NamedKind> all {
        { "slow-readers", &SoakTraffic::readSlowly, true },
        { "crash", &SoakTraffic::crashInResponses, true },
        { "long-bodies", &SoakTraffic::sendLongBodies, false },
    };
    return all;
}

bool SoakTraffic::isKind(const std::string& name)
{
    return std::ranges::any_of(kinds(), [&](const NamedKind& kind) { return kind.name == name; });
}

SoakTraffic::SoakTraffic(
    boost::asio::io_context& io, SoakSite& site, std::uint64_t seed, const std::string& only, Send send)
    : m_io(io)
    , m_site(site)
    , m_random(~seed)
    , m_send(std::move(send))
{
    for (const NamedKind& kind : kinds()) {
        if (only.empty() ? kind.isInMix : kind.name == only)
            m_kinds.push_back(kind.kind);
    }
}

std::size_t SoakTraffic::between(std::size_t least, std::size_t most)
{
    return least + m_random.below(most - least);
}

template <typename Step> void SoakTraffic::after(std::size_t milliseconds, Step step)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::milliseconds(milliseconds));
    timer->async_wait([this, timer, step](const boost::system::error_code&) {
        if (!m_isOver)
            step();
    });
}

void SoakTraffic::begin()
{
    if (!m_kinds.empty())
        schedule();
}

void SoakTraffic::schedule()
{
    (this->*m_kinds[m_random.below(m_kinds.size())])(m_random.below(m_site.vms()));
    after(between(1000, 2500), [this] { schedule(); });
}

/// Often the node is stopped, or the configuration changes, while they read.
void SoakTraffic::readSlowly(std::uint64_t vm)
{
    for (int i = 0; i < readersOfVm; ++i) {
        const std::size_t bytes = between(200, 900) * kilobyte;
        m_send(vm,
            { .address = {},
                .id = {},
                .path = bulkPath + std::to_string(bytes) + '/',
                .deadline = bulkDeadline,
                .closes = m_random.below(2) == 0,
                .reading = m_random.below(2) == 0 ? Reading::Steady : Reading::Halting,
                .responseBytes = bytes });
    }
    const std::size_t delay = between(50, 2000);
    if (m_random.below(2) == 0)
        after(delay, [this, vm] { m_site.signalNode(vm, SIGTERM); });
    else if (m_random.below(2) == 0)
        after(delay, [this] { m_site.putConfig(); });
}

/// The responses begin before the requests have been read.
void SoakTraffic::crashInResponses(std::uint64_t vm)
{
    for (int i = 0; i < requestsPerCrash; ++i) {
        m_send(m_random.below(m_site.vms()),
            { .address = {},
                .id = {},
                .path = unframedPath,
                .deadline = bodyDeadline,
                .bodyBytes = between(mebibyte / 4, 6 * mebibyte),
                .closes = m_random.below(2) == 0 });
    }
    after(between(100, 500),
        [this, vm] { m_site.upstream(vm).crash(std::chrono::milliseconds(between(300, 1500))); });
}

void SoakTraffic::sendLongBodies(std::uint64_t vm)
{
    const std::size_t count = between(1, 3);
    for (std::size_t i = 0; i < count; ++i) {
        m_send(vm,
            { .address = {},
                .id = {},
                .path = longPath,
                .deadline = bodyDeadline,
                .bodyBytes = between(16, 48) * mebibyte,
                .closes = m_random.below(2) == 0 });
    }
}

} // namespace Ebonystack::Soak
