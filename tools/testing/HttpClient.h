// Blocking clients for tests: one that speaks HTTP, and one that sends any bytes.
#pragma once

#include "protocol/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Ebonystack {

struct ClientAnswer {
    ResponseHead head;
    std::string body;

    std::string field(std::string_view name) const
    {
        return std::string(head.fields.find(name).value_or(""));
    }
};

/// Sends one request on a new connection; nothing when no whole answer came within `timeout`.
std::optional<ClientAnswer> requestOnce(const std::string& address, const RequestHead&,
    const std::string& body = {}, std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// A request head from parts.
RequestHead makeRequest(std::string method, std::string target, HttpFields = {});

/// The fields of a caller that brings a key.
HttpFields withKey(std::string_view key);

/// A TCP connection that sends raw bytes.
class RawClient {
public:
    /// Throws std::runtime_error when the address can't be reached.
    explicit RawClient(const std::string& address);
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;
    ~RawClient();

    /// False when the other side has closed.
    bool send(std::string_view bytes) const;
    /// Reads until the other side closes or stays silent for `patience`.
    std::string readUntilClosed(std::chrono::milliseconds patience = std::chrono::seconds(20)) const;
    /// Reads until what came contains `text`, or the other side closes or stays silent for `patience`.
    std::string readUntil(
        std::string_view text, std::chrono::milliseconds patience = std::chrono::seconds(20)) const;
    void closeSending() const;

private:
    int m_socket { -1 };
};

} // namespace Ebonystack
