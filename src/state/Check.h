// Checks that throw. A user error tells the operator what to change. An internal error is a fault of
// ebonystack, and its message asks for a report.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace Ebonystack {

/// Thrown for a mistake that the user can correct; the message says how.
class UserError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Thrown for a broken invariant of ebonystack.
class InternalError : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Throws UserError with `message` unless `condition` holds.
///
///     userCheck(!file.empty(), "No settings file given: use --config FILE or set EBONYSTACK_SETTINGS.");
inline void userCheck(bool condition, std::string_view message)
{
    if (!condition)
        throw UserError(std::string(message));
}

/// Throws InternalError unless `condition` holds.
inline void internalCheck(bool condition, std::string_view invariant)
{
    if (!condition)
        throw InternalError("Internal error, please report it: " + std::string(invariant));
}

} // namespace Ebonystack
