// Accepts decimal digits only, and no jump that the restores of a store can't explain.
#include "protocol/StoreEraDecoder.h"

#include <charconv>
#include <string_view>

namespace Ebonystack {
namespace {

/// The store may be restored several times while a node does not reach it.
constexpr std::uint64_t maxEraStep = 1000;
constexpr std::size_t maxReportedValueBytes = 40;

} // namespace

tl::expected<std::optional<std::uint64_t>, std::string> decodeStoreEra(
    const HttpFields& fields, const FieldNames& names, std::optional<std::uint64_t> known)
{
    const auto value = fields.find(names.storeEra);
    if (!value)
        return std::nullopt;
    std::uint64_t era = 0;
    const char* end = value->data() + value->size();
    const auto [parsedEnd, error] = std::from_chars(value->data(), end, era);
    if (value->empty() || error != std::errc() || parsedEnd != end)
        return tl::make_unexpected(names.storeEra + ": must be a whole number, not "
            + std::string(value->substr(0, maxReportedValueBytes)));
    if (known && era > *known && era - *known > maxEraStep)
        return tl::make_unexpected(names.storeEra + ": must be at most " + std::to_string(maxEraStep)
            + " above " + std::to_string(*known) + ", not " + std::to_string(era));
    return era;
}

} // namespace Ebonystack
