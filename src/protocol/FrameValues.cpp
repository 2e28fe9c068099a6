// Encodes and decodes the values of frames in the order of the wire.
#include "protocol/FrameValues.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Ebonystack::FrameValues {
namespace {

/// Longer ages count as missing. Above the longest outage: a VM without the age of its loss looks in contact.
constexpr Duration maxAge = std::chrono::hours(24 * 365);

/// The members of a contact in the order of the wire.
constexpr std::array contactMembers { &StoreContactAges::lastSeen, &StoreContactAges::lostAfter,
    &StoreContactAges::outageBeganAfter, &StoreContactAges::outageEndedAfter,
    &StoreContactAges::outageEndedBy };

/// Position of the retry load in an encoded load, after the notice.
constexpr std::size_t retryLoadIndex = 9;
/// Rates are sent as whole numbers of a tenth, which take few bytes.
constexpr double unitsPerRequest = 10;

/// The members of a retry load in the order of the wire.
constexpr std::array retryLoadMembers { &RetryLoad::requests, &RetryLoad::arrivals, &RetryLoad::rejections,
    &RetryLoad::repeatsLeft };

Json encodeRetryLoad(const RetryLoad& load)
{
    Json json = Json::array();
    for (double RetryLoad::*const member : retryLoadMembers)
        json.push_back(
            static_cast<std::uint64_t>(std::llround(std::max(load.*member, 0.0) * unitsPerRequest)));
    return json;
}

RetryLoad decodeRetryLoad(const Json& json)
{
    RetryLoad load;
    for (std::size_t i = 0; i < retryLoadMembers.size(); ++i)
        load.*retryLoadMembers.at(i) = decodeOptional(json.at(i)).value_or(0) / unitsPerRequest;
    return load;
}

} // namespace

Json encodeBytes(std::string_view text) { return Json::binary({ text.begin(), text.end() }); }

std::string decodeBytes(const Json& json)
{
    const auto& bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

Json encodeFields(const HttpFields& fields)
{
    Json array = Json::array();
    for (const HttpField& field : fields.all()) {
        array.push_back(encodeBytes(field.name));
        array.push_back(encodeBytes(field.value));
    }
    return array;
}

HttpFields decodeFields(const Json& array)
{
    HttpFields fields;
    for (std::size_t i = 0; i + 1 < array.size(); i += 2)
        fields.add(decodeBytes(array[i]), decodeBytes(array[i + 1]));
    return fields;
}

Json encodeAge(const std::optional<Duration>& age) { return age ? Json(toMilliseconds(*age)) : Json(); }

void removeTrailingNulls(Json& array)
{
    while (!array.empty() && array.back().is_null())
        array.erase(array.size() - 1);
}

std::optional<double> decodeOptional(const Json& json)
{
    if (json.is_null())
        return std::nullopt;
    const auto number = json.get<double>();
    return std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

double decodeShare(const Json& json)
{
    const auto share = json.get<double>();
    return std::isfinite(share) && share >= 0 ? std::min(share, 1.0) : 0;
}

Json encodeContact(const std::optional<StoreContactAges>& contact)
{
    if (!contact)
        return {};
    Json json = Json::array();
    for (const auto member : contactMembers)
        json.push_back(encodeAge(*contact.*member));
    return json;
}

Json encodeLoad(const UpstreamLoad& load)
{
    Json json = Json::array({ load.gate.running, load.gate.queued, load.gate.limit, load.shedShare,
        load.meanServiceTime.count(), load.acceptsRequests });
    if (load.notice) {
        json.push_back(load.notice->instance.text);
        json.push_back(encodeOptional(load.notice->requestsPerSecond));
        json.push_back(load.notice->leaving);
    }
    while (json.size() < retryLoadIndex)
        json.push_back(Json());
    json.push_back(encodeRetryLoad(load.retryLoad));
    return json;
}

UpstreamLoad decodeLoad(const Json& json)
{
    UpstreamLoad load { { json.at(0), json.at(1), json.at(2) }, json.at(3),
        Duration(json.at(4).get<std::int64_t>()), json.at(5), std::nullopt, {} };
    if (json.size() > retryLoadIndex)
        load.retryLoad = decodeRetryLoad(json.at(retryLoadIndex));
    if (json.size() > 6 && !json.at(6).is_null())
        load.notice = { { json.at(6).get<std::string>() }, decodeOptional(json.at(7)), json.at(8) };
    return load;
}

Json encodeCosts(const CostVector& costs)
{
    Json array = Json::array();
    for (const auto& [service, cost] : costs) {
        array.push_back(service.text);
        array.push_back(cost);
    }
    return array;
}

CostVector decodeCosts(const Json& array)
{
    CostVector costs;
    for (std::size_t i = 0; i + 1 < array.size(); i += 2)
        costs[{ array[i].get<std::string>() }] = array[i + 1].get<double>();
    return costs;
}

std::optional<Duration> decodeAge(const Json& json, std::size_t index)
{
    const auto milliseconds = json.size() > index ? decodeOptional(json.at(index)) : std::nullopt;
    if (!milliseconds || *milliseconds > static_cast<double>(toMilliseconds(maxAge)))
        return std::nullopt;
    return std::chrono::milliseconds(static_cast<std::int64_t>(*milliseconds));
}

std::optional<StoreContactAges> decodeContact(const Json& json, std::size_t index)
{
    if (json.size() <= index || json.at(index).is_null())
        return std::nullopt;
    StoreContactAges contact;
    for (std::size_t i = 0; i < contactMembers.size(); ++i)
        contact.*contactMembers.at(i) = decodeAge(json.at(index), i);
    return contact;
}

} // namespace Ebonystack::FrameValues
