// HTTP/1.1 messages to and from bytes, for connections that read whole messages. The parsers are the HTTP
// library's; only the .cpp file includes it.
#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Refusal.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Ebonystack {

struct HttpRequest {
    RequestHead head;
    std::string body;

    auto operator<=>(const HttpRequest&) const = default;
};

struct HttpResponse {
    ResponseHead head;
    std::string body;

    auto operator<=>(const HttpResponse&) const = default;
};

/// Reads one request from the bytes of a connection.
class RequestParser {
public:
    RequestParser(std::uint32_t headerBytes, std::uint64_t bodyBytes);
    ~RequestParser();
    RequestParser(RequestParser&&) noexcept;
    RequestParser& operator=(RequestParser&&) noexcept;

    /// Takes bytes and returns how many it used. It uses none after the end of the request.
    std::size_t feed(std::string_view bytes);
    bool headDone() const;
    bool done() const;
    /// Why the bytes are no acceptable request.
    const std::optional<Refusal>& refusal() const;
    /// The body is announced, and the caller waits to be told to send it.
    bool expectsContinue() const;
    /// Valid once it is done; empties the parser.
    HttpRequest take();

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

/// Reads one response from the bytes of a connection.
class ResponseParser {
public:
    /// `isHeadRequest`: the request's method was HEAD, so that no body follows.
    ResponseParser(bool isHeadRequest, std::uint64_t bodyBytes);
    ~ResponseParser();
    ResponseParser(ResponseParser&&) noexcept;
    ResponseParser& operator=(ResponseParser&&) noexcept;

    std::size_t feed(std::string_view bytes);
    /// The connection has ended in order: a response without a length is complete by that.
    void feedEof();
    bool started() const;
    bool done() const;
    bool failed() const;
    /// The body ends with the connection.
    bool endsWithConnection() const;
    HttpResponse take();

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

/// The bytes of a request; its length is stated whenever it has a body or its method usually has one.
std::string writeRequest(const RequestHead&, std::string_view body);

/// The bytes of a response to a request. `isHeadRequest`: the body and its length are left out.
std::string writeResponse(const ResponseHead&, std::string_view body, bool isHeadRequest);

/// The standard text of a status; "Unknown" for a number that has none.
std::string_view reasonPhrase(std::uint16_t status);

} // namespace Ebonystack
