// HTTP server for small pages: readiness and metrics.
#pragma once

#include <boost/asio/io_context.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Ebonystack {

struct StatusPage {
    std::uint16_t status { 200 };
    std::string contentType;
    std::string body;

    auto operator<=>(const StatusPage&) const = default;
};

/// Belongs to the event loop's thread.
class StatusServer {
public:
    /// Returns the page for a path.
    using MakePage = std::function<StatusPage(std::string_view path)>;

    /// Throws UserError when `address` can't be listened on.
    StatusServer(boost::asio::io_context&, const std::string& address, MakePage makePage);
    ~StatusServer();

    std::uint16_t port() const;

private:
    class Internals;
    std::shared_ptr<Internals> m_internals;
};

} // namespace Ebonystack
