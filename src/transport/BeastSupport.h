// What the two connection classes share. Only they include this file, which brings in the HTTP library.
#pragma once

#include "protocol/HttpMessage.h"
#include "transport/Awaitable.h"
#include "transport/SystemClock.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <chrono>
#include <openssl/x509.h>
#include <span>
#include <string>
#include <sys/socket.h>

namespace Ebonystack::Internal {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using EncryptedStream = Beast::ssl_stream<Beast::tcp_stream>;

template <typename Stream> constexpr bool isEncrypted = std::is_same_v<Stream, EncryptedStream>;

/// The common name in the other side's certificate; empty when there is none.
template <typename Stream> std::string nameInCertificate(const Stream& stream)
{
    if constexpr (isEncrypted<Stream>) {
        // The library's accessor is not const, but does not change the stream.
        SSL* ssl = const_cast<Stream&>(stream).native_handle();
        const std::unique_ptr<X509, decltype(&X509_free)> certificate(
            SSL_get1_peer_certificate(ssl), X509_free);
        std::array<char, 256> name {};
        const int length = certificate ? X509_NAME_get_text_by_NID(X509_get_subject_name(certificate.get()),
                               NID_commonName, name.data(), name.size())
                                       : -1;
        return length > 0 ? std::string(name.data(), static_cast<std::size_t>(length)) : std::string();
    }
    return {};
}

inline auto into(ErrorCode& error) { return boost::asio::redirect_error(boost::asio::use_awaitable, error); }

inline std::string toStdString(Beast::string_view text) { return { text.data(), text.size() }; }

template <typename Fields> HttpFields copyFields(const Fields& from)
{
    HttpFields to;
    for (const auto& field : from)
        to.add(toStdString(field.name_string()), toStdString(field.value()));
    return to;
}

template <typename Message> void setFields(Message& message, const HttpFields& fields)
{
    for (const HttpField& field : fields.all())
        message.insert(field.name, field.value);
}

/// Reads some of the body; zero bytes and no error mean that the message is complete.
template <typename Stream, typename Buffer, typename Parser>
Awaitable<std::size_t> readSome(
    Stream& stream, Buffer& buffer, Parser& parser, std::span<char> target, ErrorCode& error)
{
    auto& body = parser.get().body();
    body.data = target.data();
    body.size = target.size();
    while (!parser.is_done() && body.size == target.size()) {
        co_await Http::async_read_some(stream, buffer, parser, into(error));
        if (error == Http::error::need_buffer)
            error = {};
        if (error)
            co_return 0;
    }
    co_return target.size() - body.size;
}

/// Writes one part of a body in parts.
template <typename Stream, typename Message, typename Serializer>
Awaitable<std::size_t> writeSome(Stream& stream, Message& message, Serializer& serializer,
    std::span<const char> part, bool last, ErrorCode& error)
{
    auto& body = message.body();
    body.data = part.empty() ? nullptr : const_cast<char*>(part.data());
    body.size = part.size();
    body.more = !last;
    const std::size_t count = co_await Http::async_write(stream, serializer, into(error));
    if (error == Http::error::need_buffer)
        error = {};
    co_return count;
}

/// What waits unread on a socket.
enum class Pending {
    Nothing,
    Data,
    Closed,
};

inline Pending peek(int socket)
{
    char byte = 0;
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return Pending::Data;
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? Pending::Nothing : Pending::Closed;
}

} // namespace Ebonystack::Internal
