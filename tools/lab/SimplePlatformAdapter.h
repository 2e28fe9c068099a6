// A platform adapter with field names of its own and no store, for simulations and tests, which pass records
// and configurations to the classes directly.
#pragma once

#include "protocol/PlatformAdapter.h"

namespace Ebonystack {

class SimplePlatformAdapter : public PlatformAdapter {
public:
    const FieldNames& fieldNames() const override
    {
        static const FieldNames names { "X-Id", "X-Left", "X-Seal", "X-Team", "X-Expect", "X-Instance",
            "X-Load", "X-Not-Run", "X-Limit", "X-Leaving", "X-Caller", "Authorization", "X-Era", "Bearer" };
        return names;
    }
    const std::string& publishedPrefix() const override
    {
        static const std::string prefix;
        return prefix;
    }
    std::string pageTarget(std::string_view, std::string_view) const override { return "/list"; }
    std::string watchTarget(std::string_view, std::uint64_t, Duration) const override { return "/watch"; }
    std::string probeTarget() const override { return "/probe"; }
    tl::expected<StorePage, std::string> readPage(std::string_view) const override { return StorePage {}; }
    tl::expected<StoreChanges, std::string> readChanges(std::string_view) const override
    {
        return StoreChanges {};
    }
    std::optional<InstanceId> instanceOfKey(std::string_view) const override { return std::nullopt; }
    tl::expected<PublishedItem, std::string> readItem(std::string_view, std::string_view) const override
    {
        return PublishedItem {};
    }
};

} // namespace Ebonystack
