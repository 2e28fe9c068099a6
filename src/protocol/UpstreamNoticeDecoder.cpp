// Accepts plain decimal numbers only: no exponents, signs, infinities or text around them.
#include "protocol/UpstreamNoticeDecoder.h"

#include <charconv>
#include <string_view>

namespace Ebonystack {
namespace {

constexpr std::string_view leavingValue = "1";
constexpr std::size_t maxReportedValueBytes = 40;

std::optional<double> parseRate(std::string_view text)
{
    if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos)
        return std::nullopt;
    double rate = 0;
    const auto [end, error]
        = std::from_chars(text.data(), text.data() + text.size(), rate, std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return rate;
}

std::string describeInvalid(const std::string& field, std::string_view value)
{
    return field + ": " + std::string(value.substr(0, maxReportedValueBytes));
}

} // namespace

tl::expected<UpstreamNotice, std::string> decodeUpstreamNotice(
    const HttpFields& fields, const FieldNames& names)
{
    UpstreamNotice notice;
    if (const auto value = fields.find(names.requestLimit)) {
        notice.requestsPerSecond = parseRate(*value);
        if (!notice.requestsPerSecond)
            return tl::make_unexpected(describeInvalid(names.requestLimit, *value));
    }
    if (const auto value = fields.find(names.leaving)) {
        notice.leaving = *value == leavingValue;
        if (!notice.leaving)
            return tl::make_unexpected(describeInvalid(names.leaving, *value));
    }
    return notice;
}

} // namespace Ebonystack
