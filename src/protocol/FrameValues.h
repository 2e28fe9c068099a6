// The values within frames as JSON: bytes, header fields, loads, costs and ages.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/CostVector.h"
#include "state/StoreContact.h"
#include "state/UpstreamLoad.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

/// The decoders throw the exceptions of the JSON library when a value has another type.
namespace Ebonystack::FrameValues {

using Json = nlohmann::json;

Json encodeBytes(std::string_view text);
std::string decodeBytes(const Json&);

Json encodeFields(const HttpFields&);
HttpFields decodeFields(const Json& array);

/// Null if there is none.
template <typename Number> Json encodeOptional(const std::optional<Number>& number)
{
    return number ? Json(*number) : Json();
}
/// Nothing if the number is missing or no finite number from 0.
std::optional<double> decodeOptional(const Json&);
/// A share from 0 to 1; 0 if it is no finite number from 0.
double decodeShare(const Json&);

Json encodeAge(const std::optional<Duration>&);
/// Nothing if the age is missing, negative or longer than any outage.
std::optional<Duration> decodeAge(const Json& array, std::size_t index);

Json encodeContact(const std::optional<StoreContactAges>&);
std::optional<StoreContactAges> decodeContact(const Json& array, std::size_t index);

Json encodeLoad(const UpstreamLoad&);
UpstreamLoad decodeLoad(const Json& array);

Json encodeCosts(const CostVector&);
CostVector decodeCosts(const Json& array);

/// Optional values at the end of an array are left out.
void removeTrailingNulls(Json& array);

} // namespace Ebonystack::FrameValues
