// Follows a node's own contact with the platform's store by the results of its calls.
#pragma once

#include "state/StoreContact.h"

#include <cstdint>

namespace Ebonystack {

/// How a call to the store failed, or its connection between two calls.
enum class StoreCallFailure : std::uint8_t {
    ConnectionEnded, ///< the store's side ended the connection: it was in contact until then
    NoResponse, ///< also when no connection could be opened, or one timed out
    Rejected, ///< an error status, or a response that can't be used
};

/// Not thread-safe.
class StoreContactTracker {
public:
    void onResponse(Instant now);
    /// Called with when the call was begun, or with `now` if none was under way.
    void onFailure(StoreCallFailure, Instant begunAt, Instant now);

    const StoreContact& contact() const { return m_contact; }
    /// For how long calls have been failing; zero while they don't.
    Duration failingFor(Instant now) const;
    /// When the last response arrived.
    std::optional<Instant> lastResponseAt() const { return m_lastResponseAt; }

private:
    StoreContact m_contact;
    std::optional<Instant> m_lastResponseAt;
    std::optional<Instant> m_failingSince; // set while calls fail
    Instant m_lastFailureBegunAt;
};

} // namespace Ebonystack
