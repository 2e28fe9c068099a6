// Finds the number and the body of a request or response in the content of a frame without decoding the rest.
// A long body is passed on as a part of the frame's buffer and does not go through the JSON library.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Ebonystack {

/// A CBOR byte string of definite length within the content of a frame.
struct FrameBody {
    std::size_t headBegin { 0 }; ///< of the byte string's type and length
    std::size_t begin { 0 };
    std::size_t length { 0 };

    auto operator<=>(const FrameBody&) const = default;
};

/// The type of a frame and the number that its message begins with, if it does. For requests and responses
/// that is the request's.
struct FrameStart {
    std::uint64_t type { 0 };
    std::optional<std::uint64_t> number;

    auto operator<=>(const FrameStart&) const = default;
};

/// Nothing if the content begins otherwise, or `content` is too short.
std::optional<FrameStart> readFrameStart(std::string_view content);

/// Returns element `index` of a frame's message. Nothing if it is not a byte string that lies within
/// `content`, or something before it is not of definite length.
std::optional<FrameBody> findFrameBody(std::string_view content, std::size_t index);

/// The type and length of a byte string, in the shortest encoding.
std::string encodeByteStringHead(std::size_t length);

} // namespace Ebonystack
