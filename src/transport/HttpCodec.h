// Parses and writes complete HTTP/1.1 messages. The parsers are those of the HTTP library (Boost.Beast),
// which only the .cpp file includes.
#pragma once

#include "protocol/Body.h"
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
    Body body;

    auto operator<=>(const HttpRequest&) const = default;
};

struct HttpResponse {
    ResponseHead head;
    Body body;

    auto operator<=>(const HttpResponse&) const = default;
};

/// Parses one request from the bytes of a connection.
class RequestParser {
public:
    /// Limits on the size of the header and the body, in bytes.
    RequestParser(std::uint32_t headerBytes, std::uint64_t bodyBytes);
    ~RequestParser();
    RequestParser(RequestParser&&) noexcept;
    RequestParser& operator=(RequestParser&&) noexcept;

    /// Parses `bytes` and returns how many were used. Bytes after the end of the request are not used.
    std::size_t feed(std::string_view bytes);
    bool headDone() const;
    bool done() const;
    /// Valid if `headDone` and not yet taken.
    RequestHead head() const;
    /// The length of the body if the header says it; nothing before `headDone`.
    std::optional<std::uint64_t> announcedBodyBytes() const;
    /// Set if the bytes are not an acceptable request.
    const std::optional<Refusal>& refusal() const;
    /// Whether the header has an Expect field and the body is still to come: the caller waits for status 100.
    bool expectsContinue() const;
    /// Valid if `done`. Leaves the parser empty.
    HttpRequest take();

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

/// Parses one response from the bytes of a connection.
class ResponseParser {
public:
    /// `isHeadRequest`: the request's method was HEAD, so the response has no body.
    ResponseParser(bool isHeadRequest, std::uint64_t bodyBytes);
    ~ResponseParser();
    ResponseParser(ResponseParser&&) noexcept;
    ResponseParser& operator=(ResponseParser&&) noexcept;

    std::size_t feed(std::string_view bytes);
    /// Called when the peer has closed the connection normally. This completes a response without a length.
    void feedEof();
    bool started() const;
    bool done() const;
    bool failed() const;
    /// Nothing before the header is complete.
    std::optional<std::uint16_t> status() const;
    /// The length of the body if the header says it; nothing before the header is complete.
    std::optional<std::uint64_t> announcedBodyBytes() const;
    /// Whether the response has no length, so that its body ends when the connection is closed.
    bool endsWithConnection() const;
    HttpResponse take();

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

/// Returns the bytes of a request before its body. Adds Content-Length if there is a body or the method
/// usually has one.
std::string writeRequestHead(const RequestHead&, std::size_t bodyBytes);

/// Returns the bytes of a request.
std::string writeRequest(const RequestHead&, std::string_view body);

/// Whether a response is sent with its body. `isHeadRequest`: the body and Content-Length are left out.
bool sendsBody(const ResponseHead&, bool isHeadRequest);

/// Returns the bytes of a response before its body.
std::string writeResponseHead(const ResponseHead&, std::size_t bodyBytes, bool isHeadRequest);

/// Returns the bytes of a response.
std::string writeResponse(const ResponseHead&, std::string_view body, bool isHeadRequest);

/// Returns the standard reason phrase of a status, or "Unknown" for an unknown status.
std::string_view reasonPhrase(std::uint16_t status);

} // namespace Ebonystack
