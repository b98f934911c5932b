#pragma once

#include <cstddef>

namespace tarragonhaven {

// Returns the memory that this process may use: that of the machine, or less if a control group limits it.
std::size_t machineMemory();

} // namespace tarragonhaven
