// The state of one connection of a caller.
#pragma once

#include "coordination/MemoryBudget.h"
#include "transport/ByteStream.h"
#include "transport/EntryCall.h"
#include "transport/HttpCodec.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Ebonystack {

/// The memory of the requests of a connection that have no response yet.
struct CallerRequestBytes {
    std::size_t inShort { 0 }; ///< of short requests, and of the start of one whose length is not known yet
    std::size_t inLong { 0 }; ///< received of the long request that is being read
    std::shared_ptr<MemoryBudget::Reservation> reservation; ///< of that request; set once it is admitted
    std::uint64_t waitId { 0 }; ///< while it waits for memory; else 0
    Instant admittedAt;
    std::optional<Instant> deadline; ///< of the request that is being read; set once its header is complete
    bool isBehind { false }; ///< won't be complete by its deadline: gets memory only for what arrives

    std::size_t received() const { return reservation ? inLong : inShort; }
    /// What is freed if the request is given up for others. A long one that arrives in time is kept.
    std::size_t reclaimable() const { return reservation && !isBehind ? 0 : received(); }
};

struct CallerConnection {
    /// `messages`: of all messages of the node.
    CallerConnection(MemoryBudget& unreadBudget, MemoryBudget& messages)
        : unread(unreadBudget)
        , unsent(messages)
    {
    }

    std::shared_ptr<ByteStream> stream;
    std::string input;
    std::optional<RequestParser> parser; // set while a request is being read
    bool serving { false }; // the entry service has a request of this connection
    std::optional<CallId> call; // set while serving, after EntryService::begin has returned
    bool keepAlive { true }; // of the current request
    bool isHeadRequest { false };
    bool sentContinue { false };
    Instant phaseStartedAt; // start of the current phase: idle, reading or writing
    Instant lastReceivedAt;
    CallerRequestBytes requests;
    bool isClosing { false }; // after its last response
    std::size_t responseBytes { 0 }; // length of the last response's body
    std::uint64_t responseEnd { 0 }; // position in the stream of the end of the last response
    bool awaitsAcknowledgement { false }; // of the last response, as far as known
    MemoryBudget::Reservation unread; // bytes of responses that the caller does not have, as of the last tick
    bool isResponseCounted { false }; // the last one's body carries its own reservation
    MemoryBudget::Reservation unsent; // bytes of other responses, as of the last tick
    Instant callerDeadline; // of the last request
    Instant respondedAt;
    bool isSlowReader { false }; // of the last response
};

using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

} // namespace Ebonystack
