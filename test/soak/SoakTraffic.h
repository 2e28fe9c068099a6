// Requests of a soak that are out of the ordinary, and the trouble that belongs to them.
#pragma once

#include "SoakCallers.h"
#include "SoakSite.h"

namespace Ebonystack::Soak {

/// Its random numbers are its own, so that a seed has the same faults with and without it.
class SoakTraffic {
public:
    /// The address and the id are filled in.
    using Send = std::function<void(std::uint64_t vm, CallerRequest)>;

    static bool isKind(const std::string& name);

    /// `only`: the name of the only kind, or empty: those of the mix.
    SoakTraffic(boost::asio::io_context&, SoakSite&, std::uint64_t seed, const std::string& only, Send send);
    void begin();
    void end() { m_isOver = true; }

private:
    using Kind = void (SoakTraffic::*)(std::uint64_t vm);
    struct NamedKind;
    static const std::vector<NamedKind>& kinds();

    void schedule();
    void readSlowly(std::uint64_t vm);
    void crashInResponses(std::uint64_t vm);
    void sendLongBodies(std::uint64_t vm);
    std::size_t between(std::size_t least, std::size_t most);
    template <typename Step> void after(std::size_t milliseconds, Step step);

    boost::asio::io_context& m_io;
    SoakSite& m_site;
    RandomSource m_random;
    Send m_send;
    std::vector<Kind> m_kinds;
    bool m_isOver { false };
};

} // namespace Ebonystack::Soak
