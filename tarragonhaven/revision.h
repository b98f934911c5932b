#pragma once

#include <cstdint>

namespace tarragonhaven {

// The number that the platform assigned to a published FleetIndex. A larger number is newer; 0 means no
// index.
using Revision = std::uint64_t;

} // namespace tarragonhaven
