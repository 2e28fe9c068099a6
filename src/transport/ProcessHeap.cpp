// Uses the functions of the GNU C library; does nothing with others.
#include "transport/ProcessHeap.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace Ebonystack {

void configureHeap()
{
#ifdef __GLIBC__
    // Setting a threshold also stops the allocator from raising it when a long buffer is freed. Shorter
    // buffers come from the heap, where one that is in use keeps all that was freed below it.
    constexpr int ownMappingBytes = 32 << 10;
    constexpr int keptBytes = 1 << 20;
    ::mallopt(M_MMAP_THRESHOLD, ownMappingBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptBytes);
#endif
}

void trimHeap(std::size_t maxFreeBytes)
{
#ifdef __GLIBC__
    if (::mallinfo2().fordblks > maxFreeBytes)
        ::malloc_trim(0);
#else
    static_cast<void>(maxFreeBytes);
#endif
}

} // namespace Ebonystack
