// Wraps the parsers of Boost.Beast.
#include "transport/HttpCodec.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

namespace Ebonystack {
namespace {

namespace Http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// A head, chunk header or trailer is used only when it is complete, so the bytes that a parser has not used
/// are the part of one that has arrived. Longer ones are not accepted.
constexpr std::size_t maxUnusedBytes = 64 << 10;
/// An announced body gets address space for no more than this before it arrives.
constexpr std::size_t maxReservedBytes = std::size_t { 256 } << 10;

/// The body that the parsers fill, for the HTTP library.
struct ReceivedBody {
    using value_type = ByteBuffer;

    class reader { // NOLINT(readability-identifier-naming): the library's name
    public:
        template <bool isRequest, typename Fields>
        reader(Http::header<isRequest, Fields>&, ByteBuffer& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, ErrorCode& error)
        {
            error = {};
            m_body.reserve(
                static_cast<std::size_t>(std::min<std::uint64_t>(length.value_or(0), maxReservedBytes)));
        }

        template <typename Buffers> std::size_t put(const Buffers& buffers, ErrorCode& error)
        {
            error = {};
            std::size_t count = 0;
            for (const auto& buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append({ static_cast<const char*>(buffer.data()), buffer.size() });
                count += buffer.size();
            }
            return count;
        }

        void finish(ErrorCode& error) { error = {}; }

    private:
        ByteBuffer& m_body;
    };
};

std::optional<std::uint64_t> toStdOptional(const boost::optional<std::uint64_t>& length)
{
    return length ? std::optional(*length) : std::nullopt;
}

std::string toStdString(boost::beast::string_view text) { return { text.data(), text.size() }; }

template <typename Fields> HttpFields copyFields(const Fields& from)
{
    HttpFields to;
    for (const auto& field : from)
        to.add(toStdString(field.name_string()), toStdString(field.value()));
    return to;
}

template <typename Message> RequestHead copyHead(const Message& message)
{
    return { toStdString(message.method_string()), toStdString(message.target()), copyFields(message),
        message.keep_alive() };
}

/// Feeds `bytes` to a parser and returns how many were used. Sets `error`, except if more bytes are needed
/// and their start is within the limit.
template <typename Parser> std::size_t feedParser(Parser& parser, std::string_view bytes, ErrorCode& error)
{
    std::size_t used = 0;
    while (used < bytes.size() && !parser.is_done()) {
        const std::size_t count = parser.put(boost::asio::buffer(bytes.substr(used)), error);
        used += count;
        if (error == Http::error::need_more) {
            error = {};
            break;
        }
        if (error || count == 0)
            break;
    }
    if (!error && !parser.is_done() && bytes.size() - used > maxUnusedBytes)
        error = Http::error::header_limit;
    return used;
}

Refusal refusalFor(const ErrorCode& error)
{
    if (error == Http::error::header_limit)
        return notRunRefusal(ResultCode::HeaderTooLarge, "the header is larger than the limit");
    if (error == Http::error::body_limit)
        return notRunRefusal(ResultCode::BodyTooLarge, "the body is larger than the limit");
    if (error == Http::error::bad_content_length || error == Http::error::multiple_content_length
        || error == Http::error::bad_transfer_encoding)
        return notRunRefusal(ResultCode::LengthConflict, error.message());
    return notRunRefusal(ResultCode::RequestMalformed, error.message());
}

void appendFields(std::string& text, const HttpFields& fields)
{
    for (const HttpField& field : fields.all()) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
}

bool methodHasBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

class RequestParser::Internals {
public:
    Internals(std::uint32_t headerBytes, std::uint64_t bodyBytes)
    {
        parser.header_limit(headerBytes);
        parser.body_limit(bodyBytes);
        parser.eager(true);
    }

    Http::request_parser<ReceivedBody> parser;
    std::optional<Refusal> refusal;
};

RequestParser::RequestParser(std::uint32_t headerBytes, std::uint64_t bodyBytes)
    : m_internals(std::make_unique<Internals>(headerBytes, bodyBytes))
{
}

RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

std::size_t RequestParser::feed(std::string_view bytes)
{
    ErrorCode error;
    const std::size_t used = feedParser(m_internals->parser, bytes, error);
    if (error)
        m_internals->refusal = refusalFor(error);
    const auto& message = m_internals->parser.get();
    // The next reader may find a different end of a message with both Content-Length and chunked encoding.
    if (!error && m_internals->parser.is_header_done() && message.chunked()
        && message.count(Http::field::content_length) > 0)
        m_internals->refusal = notRunRefusal(
            ResultCode::LengthConflict, "expected Content-Length or chunked Transfer-Encoding, found both");
    return used;
}

bool RequestParser::headDone() const { return m_internals->parser.is_header_done(); }

bool RequestParser::done() const { return m_internals->parser.is_done(); }

const std::optional<Refusal>& RequestParser::refusal() const { return m_internals->refusal; }

bool RequestParser::expectsContinue() const
{
    return headDone() && !done() && m_internals->parser.get().count(Http::field::expect) > 0;
}

RequestHead RequestParser::head() const { return copyHead(m_internals->parser.get()); }

std::optional<std::uint64_t> RequestParser::announcedBodyBytes() const
{
    return headDone() ? toStdOptional(m_internals->parser.content_length()) : std::nullopt;
}

HttpRequest RequestParser::take()
{
    auto message = m_internals->parser.release();
    HttpRequest request;
    request.head = copyHead(message);
    request.body = std::move(message.body());
    return request;
}

class ResponseParser::Internals {
public:
    Internals(bool isHeadRequest, std::uint64_t bodyBytes)
    {
        parser.skip(isHeadRequest);
        parser.body_limit(bodyBytes);
        parser.eager(true);
    }

    Http::response_parser<ReceivedBody> parser;
    bool failed { false };
};

ResponseParser::ResponseParser(bool isHeadRequest, std::uint64_t bodyBytes)
    : m_internals(std::make_unique<Internals>(isHeadRequest, bodyBytes))
{
}

ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

std::size_t ResponseParser::feed(std::string_view bytes)
{
    ErrorCode error;
    const std::size_t used = feedParser(m_internals->parser, bytes, error);
    if (error)
        m_internals->failed = true;
    return used;
}

void ResponseParser::feedEof()
{
    ErrorCode error;
    if (m_internals->parser.is_header_done() && !m_internals->parser.is_done())
        m_internals->parser.put_eof(error);
    if (error || !m_internals->parser.is_done())
        m_internals->failed = true;
}

bool ResponseParser::started() const { return m_internals->parser.got_some(); }

bool ResponseParser::done() const { return m_internals->parser.is_done() && !m_internals->failed; }

bool ResponseParser::failed() const { return m_internals->failed; }

std::optional<std::uint16_t> ResponseParser::status() const
{
    const auto& parser = m_internals->parser;
    return parser.is_header_done() ? std::optional(static_cast<std::uint16_t>(parser.get().result_int()))
                                   : std::nullopt;
}

std::optional<std::uint64_t> ResponseParser::announcedBodyBytes() const
{
    const auto& parser = m_internals->parser;
    return parser.is_header_done() ? toStdOptional(parser.content_length()) : std::nullopt;
}

bool ResponseParser::endsWithConnection() const
{
    return m_internals->parser.is_header_done() && m_internals->parser.need_eof();
}

HttpResponse ResponseParser::take()
{
    auto message = m_internals->parser.release();
    HttpResponse response;
    response.head.status = static_cast<std::uint16_t>(message.result_int());
    response.head.fields = copyFields(message);
    response.head.keepAlive = message.keep_alive();
    response.body = std::move(message.body());
    return response;
}

std::string writeRequestHead(const RequestHead& head, std::size_t bodyBytes)
{
    std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    appendFields(text, head.fields);
    if (bodyBytes > 0 || methodHasBody(head.method))
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    text += "\r\n";
    return text;
}

std::string writeRequest(const RequestHead& head, std::string_view body)
{
    return writeRequestHead(head, body.size()).append(body);
}

bool sendsBody(const ResponseHead& head, bool isHeadRequest)
{
    constexpr std::uint16_t noContent = 204;
    constexpr std::uint16_t notModified = 304;
    const bool mayHaveBody = head.status >= 200 && head.status != noContent && head.status != notModified;
    return mayHaveBody && !isHeadRequest;
}

std::string writeResponseHead(const ResponseHead& head, std::size_t bodyBytes, bool isHeadRequest)
{
    std::string text
        = "HTTP/1.1 " + std::to_string(head.status) + ' ' + std::string(reasonPhrase(head.status)) + "\r\n";
    appendFields(text, head.fields);
    if (sendsBody(head, isHeadRequest))
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    if (!head.keepAlive)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

std::string writeResponse(const ResponseHead& head, std::string_view body, bool isHeadRequest)
{
    std::string text = writeResponseHead(head, body.size(), isHeadRequest);
    return sendsBody(head, isHeadRequest) ? std::move(text.append(body)) : text;
}

std::string_view reasonPhrase(std::uint16_t status)
{
    const auto phrase = Http::obsolete_reason(static_cast<Http::status>(status));
    return { phrase.data(), phrase.size() };
}

} // namespace Ebonystack
