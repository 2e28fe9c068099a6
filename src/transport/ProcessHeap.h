// The heap of the process: how soon freed memory goes back to the system, which counts it until then.
#pragma once

#include <cstddef>

namespace Ebonystack {

/// Gives long buffers mappings of their own, which go back to the system with them. Called once, at the
/// start.
void configureHeap();

/// Returns what is free in the heap to the system if it is more than `maxFreeBytes`.
void trimHeap(std::size_t maxFreeBytes);

} // namespace Ebonystack
