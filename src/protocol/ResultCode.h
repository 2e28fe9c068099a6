// The result codes of requests and of checks of settings. Only the table in ResultCode.cpp defines the
// name, HTTP status and meaning of a code; a test compares docs/RESULT_CODES.md with it.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Ebonystack {

enum class ResultCode : std::uint16_t {
    Delivered = 0,

    KeyMissing = 101,
    KeyUnknown = 102,
    RouteUnknown = 103,

    PlanExceeded = 201,
    PlanGrantsUnavailable = 202,

    ShedByWorth = 301,
    QueueFull = 302,
    DeadlineTooNear = 303,

    NoVmAvailable = 401,
    NodeLeaving = 403,
    NodeStarting = 404,

    OutcomeUnknown = 501,
    DeadlineExceeded = 502,

    RequestMalformed = 701,
    HeaderTooLarge = 702,
    BodyTooLarge = 703,
    LengthConflict = 704,
    SenderTooSlow = 705,

    JsonInvalid = 801,
    FieldUnknown = 802,
    FieldMissing = 803,
    FieldTypeWrong = 804,
    FieldOutOfRange = 805,
    NameDuplicate = 807,
    FileUnreadable = 810,

    InternalError = 990,
};

/// Whether the application code of an upstream ran the request.
enum class Ran : std::uint8_t {
    No, ///< the request certainly did not run and will not run
    Yes,
    Unknown,
};

struct ResultCodeInfo {
    ResultCode code;
    std::string_view name;
    std::uint16_t httpStatus; ///< 0 for codes that are never sent as a response
    std::string_view meaning;
};

/// The whole table, in ascending order of code.
std::span<const ResultCodeInfo> resultCodeTable();

/// The row of one code. Every enumerator has a row.
const ResultCodeInfo& describe(ResultCode);

std::string_view describe(Ran);

} // namespace Ebonystack
