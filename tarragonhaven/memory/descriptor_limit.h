#pragma once

#include <cstddef>

namespace tarragonhaven {

// Returns the number of descriptors that this process may have open.
std::size_t descriptorLimit();

} // namespace tarragonhaven
