// Which nodes read all changes of the platform's store. Each call to the store has a cost, and a change wakes
// every node that watches it. So in each data centre one node reads for the others and passes the changes on,
// a second one stands by, and the others only probe whether they reach the store.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Ebonystack {

enum class StoreRole : std::uint8_t {
    Reader, ///< watches all keys and passes changes on
    Standby, ///< does the same at longer intervals; becomes the reader when that is lost
    Follower, ///< gets the changes from the reader, and probes whether it reaches the store
};

/// A VM of the local data centre whose node is linked with this one, or the local VM.
struct StoreRoleCandidate {
    VmId vm;
    bool reachesStore { false }; ///< by its last report

    auto operator<=>(const StoreRoleCandidate&) const = default;
};

/// The role of `local` among the nodes of its data centre, by rendezvous hashing over the candidates that
/// reach the store, or over all of them when none does. Nodes that know the same candidates agree; nodes that
/// don't may both be readers, which costs calls, or both expect another to read, until a link reports its
/// loss.
StoreRole storeRoleOf(
    const VmId& local, const DataCentre&, const std::vector<StoreRoleCandidate>& candidates);

/// The time between two calls of a node to the store: watches, which collect the changes made in it, or
/// probes.
Duration callIntervalOf(StoreRole, std::size_t dataCentres);

enum class StoreMode : std::uint8_t {
    Watch, ///< each change is read from the store
    Probe, ///< the changes come from peers
};

/// How long a reader's watch waits. With the time in which a silent call is noticed, shorter than the
/// shortest outage in which records lapse: a silent connection to a store that responds to others is not
/// taken for one.
constexpr Duration readerWatchWait = std::chrono::milliseconds(1400);

/// How a node calls the store.
struct StoreCallPlan {
    StoreMode mode { StoreMode::Watch };
    /// Between two probes, or after a watch with changes.
    Duration interval { std::chrono::milliseconds(250) };
    /// How long a watch waits for a change. A connection can go silent without an end, so this bounds how
    /// long a node can miss changes without noticing.
    Duration watchWait { readerWatchWait };

    auto operator<=>(const StoreCallPlan&) const = default;
};

StoreCallPlan callPlanOf(StoreRole, std::size_t dataCentres);

std::string_view describe(StoreRole);

} // namespace Ebonystack
