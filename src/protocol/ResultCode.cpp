// Defines the table of result codes and the lookup in it.
#include "protocol/ResultCode.h"

#include "state/Check.h"

#include <algorithm>
#include <array>

namespace Ebonystack {
namespace {

using enum ResultCode;

constexpr auto table = std::to_array<ResultCodeInfo>({
    { Delivered, "Delivered", 200, "The complete response reached the caller before its deadline." },
    { KeyMissing, "KeyMissing", 401, "The route requires an API key, and the request has none." },
    { KeyUnknown, "KeyUnknown", 401, "The API key is not valid: never issued, mistyped or withdrawn." },
    { RouteUnknown, "RouteUnknown", 404, "No route matches the request's host and path." },
    { PlanExceeded, "PlanExceeded", 429, "The team has used its rate and burst." },
    { PlanGrantsUnavailable, "PlanGrantsUnavailable", 503,
        "The owner of the team's plan can't be reached, and the entry node's own share is used up." },
    { ShedByWorth, "ShedByWorth", 503, "Load had to be shed, and more important requests came first." },
    { QueueFull, "QueueFull", 503, "The node's memory for requests is full." },
    { DeadlineTooNear, "DeadlineTooNear", 503, "The request could not finish before its deadline." },
    { NoVmAvailable, "NoVmAvailable", 503, "No VM of the service accepted the request; it has not run." },
    { NodeLeaving, "NodeLeaving", 503, "The node is shutting down and accepts no new requests." },
    { NodeStarting, "NodeStarting", 503, "The node has no configuration yet." },
    { OutcomeUnknown, "OutcomeUnknown", 502,
        "The request was sent, but no valid response arrived; it may have run." },
    { DeadlineExceeded, "DeadlineExceeded", 504, "The deadline passed while the request was running." },
    { RequestMalformed, "RequestMalformed", 400, "The request is not well-formed HTTP/1.1." },
    { HeaderTooLarge, "HeaderTooLarge", 431, "The request's header is larger than the limit." },
    { BodyTooLarge, "BodyTooLarge", 413, "The request's body is larger than the limit." },
    { LengthConflict, "LengthConflict", 400,
        "The request states its body length more than once or in more than one way." },
    { SenderTooSlow, "SenderTooSlow", 408, "The request did not arrive within the time limit." },
    { JsonInvalid, "JsonInvalid", 0, "The document is not valid JSON." },
    { FieldUnknown, "FieldUnknown", 0, "The document has an unknown field." },
    { FieldMissing, "FieldMissing", 0, "A required field is missing." },
    { FieldTypeWrong, "FieldTypeWrong", 0, "A field has the wrong JSON type." },
    { FieldOutOfRange, "FieldOutOfRange", 0, "A field's value is outside its range." },
    { NameDuplicate, "NameDuplicate", 0, "A name that must be unique occurs twice." },
    { FileUnreadable, "FileUnreadable", 0, "The file could not be read." },
    { InternalError, "InternalError", 500, "An internal fault of ebonystack; the log line says where." },
});

static_assert(std::ranges::is_sorted(table, {}, &ResultCodeInfo::code));

} // namespace

std::span<const ResultCodeInfo> resultCodeTable() { return table; }

const ResultCodeInfo& describe(ResultCode code)
{
    const auto* row = std::ranges::lower_bound(table, code, {}, &ResultCodeInfo::code);
    internalCheck(row != table.end() && row->code == code, "a result code has no row in the table");
    return *row;
}

std::string_view describe(Ran ran)
{
    constexpr auto names = std::to_array<std::string_view>({ "no", "yes", "unknown" });
    return names.at(static_cast<std::size_t>(ran));
}

} // namespace Ebonystack
