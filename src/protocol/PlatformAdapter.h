// How the users' platform spells what the nodes exchange with it: headers of requests and answers, calls to
// the store, and published items. The interface is the product's; the platform's folder implements it.
#pragma once

#include "state/ServingConfig.h"
#include "state/StoreItem.h"
#include "state/UpstreamRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace Ebonystack {

/// Names of the header fields with a meaning between callers, nodes and upstreams.
struct FieldNames {
    std::string requestId; ///< of one request; upstreams echo it
    std::string deadline; ///< whole milliseconds that are left
    std::string seal; ///< an upstream's mark on each of its answers
    std::string team; ///< for the upstream: the team of the caller's key
    std::string expectedInstance; ///< for the upstream: the instance that is to run the request
    std::string instance; ///< in answers to health checks
    std::string load; ///< running, waiting and slots of the upstream
    std::string notRun; ///< present when the upstream did not run the request
    std::string callerService; ///< for the upstream: the service in whose VM the request began
    std::string key; ///< holds the caller's key
    std::string keyScheme; ///< the word in front of the key

    auto operator<=>(const FieldNames&) const = default;
};

/// One page of a listing.
struct StorePage {
    std::vector<StoreItem> items;
    std::uint64_t revision { 0 }; ///< of the store when it answered
    bool hasMore { false };

    auto operator<=>(const StorePage&) const = default;
};

/// What changed, in order.
struct StoreChanges {
    std::vector<StoreItem> items;
    std::uint64_t revision { 0 }; ///< to continue from

    auto operator<=>(const StoreChanges&) const = default;
};

/// What an item means. Nothing in it: an item of no concern, or one that can't be read.
using PublishedItem = std::variant<std::monostate, UpstreamRecord, ServingConfig>;

class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;

    virtual const FieldNames& fieldNames() const = 0;

    /// The prefixes of all keys that nodes follow. One watch is kept for each.
    virtual const std::vector<std::string>& watchedPrefixes() const = 0;
    /// The target of a GET for the page of a listing that begins after a key.
    virtual std::string pageTarget(std::string_view prefix, std::string_view afterKey) const = 0;
    /// The target of a GET that waits for changes after a revision.
    virtual std::string watchTarget(
        std::string_view prefix, std::uint64_t afterRevision, Duration wait) const = 0;
    virtual tl::expected<StorePage, std::string> readPage(std::string_view body) const = 0;
    virtual tl::expected<StoreChanges, std::string> readChanges(std::string_view body) const = 0;

    /// The instance that a key of an upstream's entry names; nothing for other keys.
    virtual std::optional<InstanceId> instanceOfKey(std::string_view key) const = 0;
    /// Reads an item's value; the error says what is wrong with one that can't be used.
    virtual tl::expected<PublishedItem, std::string> readItem(
        std::string_view key, std::string_view value) const = 0;
};

} // namespace Ebonystack
