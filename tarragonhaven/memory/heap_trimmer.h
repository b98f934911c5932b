#pragma once

#include "tarragonhaven/memory/heap_trim_policy.h"
#include "util/time.h"

namespace tarragonhaven {

// Returns the free memory of the heap to the system when HeapTrimPolicy says so. One for each process.
class HeapTrimmer {
public:
    void tick(util::Time now);

private:
    HeapTrimPolicy m_policy;
    util::Time m_nextCheck {};
};

} // namespace tarragonhaven
