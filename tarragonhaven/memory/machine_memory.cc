#include "tarragonhaven/memory/machine_memory.h"

#include "tarragonhaven/memory/memory_bound.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>

namespace tarragonhaven {

namespace {

    // Returns the content of a file, or an empty text if it cannot be read.
    std::string contentOf(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

} // namespace

std::size_t machineMemory()
{
    const auto pages = ::sysconf(_SC_PHYS_PAGES);
    const auto pageBytes = ::sysconf(_SC_PAGESIZE);
    std::size_t bytes = pages > 0 && pageBytes > 0
        ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes)
        : 0;
    for (const auto& file : memoryLimitFiles(contentOf("/proc/self/cgroup"))) {
        if (const auto limit = parseMemoryLimit(contentOf(file)))
            bytes = bytes == 0 ? *limit : std::min(bytes, *limit);
    }
    return bytes;
}

std::size_t memoryBoundFor(std::size_t settingBytes)
{
    return settingBytes > 0 ? settingBytes : memoryBound(machineMemory());
}

} // namespace tarragonhaven
