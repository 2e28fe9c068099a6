// The interface to the users' platform: header names of requests and responses, calls to the store, and
// published items. The folder platform/ implements the interface.
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

/// Names of the header fields that callers, nodes and upstreams exchange.
struct FieldNames {
    std::string requestId; ///< identifies one request; upstreams return it in the response
    std::string deadline; ///< remaining time in whole milliseconds
    std::string seal; ///< set by upstreams on each of their own responses
    std::string team; ///< for the upstream: the team of the caller's API key
    std::string expectedInstance; ///< for the upstream: the only instance that may run the request
    std::string instance; ///< in responses to health checks
    std::string load; ///< the upstream's running and waiting requests and its slots
    std::string notRun; ///< present when the upstream did not run the request
    std::string
        requestLimit; ///< in responses: the requests a second that the upstream takes from all callers
    std::string leaving; ///< in responses, with the value 1: the upstream is leaving
    std::string callerService; ///< for the upstream: the service in whose VM the request originated
    std::string apiKey; ///< holds the caller's API key
    std::string storeEra; ///< in the store's responses: see StorePosition
    std::string apiKeyScheme; ///< the authentication scheme in front of the API key

    auto operator<=>(const FieldNames&) const = default;
};

/// One page of a listing of the store.
struct StorePage {
    std::vector<StoreItem> items;
    std::uint64_t revision { 0 }; ///< of the store at the time of the response
    bool hasMore { false };

    auto operator<=>(const StorePage&) const = default;
};

/// Changes of the store in the order in which they were made.
struct StoreChanges {
    std::vector<StoreItem> items;
    std::uint64_t revision { 0 }; ///< the next watch begins after this revision

    auto operator<=>(const StoreChanges&) const = default;
};

/// The decoded value of an item; empty for keys that nodes don't use.
using PublishedItem = std::variant<std::monostate, UpstreamRecord, ServingConfig>;

class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;

    virtual const FieldNames& fieldNames() const = 0;

    /// The prefix of all keys that nodes read.
    virtual const std::string& publishedPrefix() const = 0;
    /// The target of a GET for the page of a listing that begins after `afterKey`.
    virtual std::string pageTarget(std::string_view prefix, std::string_view afterKey) const = 0;
    /// The target of a GET that waits up to `wait` for changes after a revision.
    virtual std::string watchTarget(
        std::string_view prefix, std::uint64_t afterRevision, Duration wait) const = 0;
    /// The target of a cheap GET that only shows whether the store responds, with status 200 or 404.
    virtual std::string probeTarget() const = 0;
    virtual tl::expected<StorePage, std::string> readPage(std::string_view body) const = 0;
    virtual tl::expected<StoreChanges, std::string> readChanges(std::string_view body) const = 0;

    /// The instance named by the key of an upstream's record; nothing for other keys.
    virtual std::optional<InstanceId> instanceOfKey(std::string_view key) const = 0;
    /// Decodes an item's value; the error says why the value can't be used.
    virtual tl::expected<PublishedItem, std::string> readItem(
        std::string_view key, std::string_view value) const = 0;
};

} // namespace Ebonystack
