#include "tarragonhaven/memory/heap_trimmer.h"

#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace tarragonhaven {

namespace {

    constexpr util::Duration checkInterval = std::chrono::seconds(1);

    // Returns the resident memory of this process; 0 if the system does not tell.
    std::size_t residentBytes()
    {
        std::ifstream statm("/proc/self/statm");
        std::size_t totalPages = 0;
        std::size_t residentPages = 0;
        statm >> totalPages >> residentPages;
        return residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

} // namespace

void HeapTrimmer::tick(util::Time now)
{
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + checkInterval;
    if (!m_policy.due(residentBytes()))
        return;
    malloc_trim(0);
    m_policy.recordTrimmed(residentBytes());
}

} // namespace tarragonhaven
