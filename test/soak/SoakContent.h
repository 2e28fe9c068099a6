// Bodies that name their length and checksum, so that a part of one is never taken for the whole.
#pragma once

#include "state/RandomSource.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace Ebonystack::Soak {

/// FNV-1a over words: long bodies must not hold up the soak's loop.
inline std::uint64_t checksumOf(std::string_view bytes)
{
    std::uint64_t sum = 0xcbf29ce484222325ULL;
    for (; !bytes.empty(); bytes.remove_prefix(std::min(bytes.size(), sizeof sum))) {
        std::uint64_t word = 0;
        std::memcpy(&word, bytes.data(), std::min(bytes.size(), sizeof word));
        sum = (sum ^ word) * 0x100000001b3ULL;
    }
    return sum;
}

/// "ok:ID:LENGTH:CHECKSUM:" and `length` bytes.
inline std::string makeContent(const std::string& id, std::size_t length)
{
    std::string bytes(length, '\0');
    RandomSource random(checksumOf(id));
    for (std::size_t at = 0; at < length; at += sizeof(std::uint64_t)) {
        const std::uint64_t word = random();
        std::memcpy(bytes.data() + at, &word, std::min(length - at, sizeof word));
    }
    return "ok:" + id + ':' + std::to_string(length) + ':' + std::to_string(checksumOf(bytes)) + ':' + bytes;
}

inline bool isWholeContent(std::string_view content, const std::string& id)
{
    const std::string start = "ok:" + id + ':';
    const auto lengthEnd = content.find(':', start.size());
    const auto sumEnd = content.find(':', lengthEnd + 1);
    if (!content.starts_with(start) || lengthEnd == content.npos || sumEnd == content.npos)
        return false;
    const auto bytes = content.substr(sumEnd + 1);
    return std::to_string(bytes.size()) == content.substr(start.size(), lengthEnd - start.size())
        && std::to_string(checksumOf(bytes)) == content.substr(lengthEnd + 1, sumEnd - lengthEnd - 1);
}

} // namespace Ebonystack::Soak
