#pragma once

#include <cstddef>

namespace tarragonhaven {

// Returns the memory that this process may use: that of the machine, or less if a control group limits it.
std::size_t machineMemory();

// Returns the bound of the memory that a node holds for its callers: the setting, or the one that follows
// from machineMemory() if it is 0.
std::size_t memoryBoundFor(std::size_t settingBytes);

} // namespace tarragonhaven
