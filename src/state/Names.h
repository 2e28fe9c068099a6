// Typed names: the ids of VMs and of teams are both text but of different types, so that the compiler rejects
// a mix-up.
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace Ebonystack {

/// A name of one kind. Names of different kinds can't be compared or converted to each other.
///
///     VmId vm { "registry-1" };
template <typename Tag> struct Name {
    std::string text;

    bool empty() const { return text.empty(); }
    auto operator<=>(const Name&) const = default;
};

using VmId = Name<struct VmTag>;
using DataCentre = Name<struct DataCentreTag>;
using ServiceName = Name<struct ServiceTag>;
using TeamId = Name<struct TeamTag>;
using RouteId = Name<struct RouteTag>;

} // namespace Ebonystack

template <typename Tag> struct std::hash<Ebonystack::Name<Tag>> {
    std::size_t operator()(const Ebonystack::Name<Tag>& name) const noexcept
    {
        return std::hash<std::string> {}(name.text);
    }
};
