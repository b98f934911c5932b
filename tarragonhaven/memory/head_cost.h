#pragma once

#include "tarragonhaven/message_head.h"

#include <cstddef>

namespace tarragonhaven {

// The memory that parsed heads take, as allocated by Beast and by RequestHead. An estimate from above, within
// a small factor; it is meant for limits and accounts.

// Returns the memory of one header field while a head is parsed and converted: an element of Beast's fields,
// a HeaderField in a vector that grows by doubling, and texts that are too long to be stored in the string
// object.
std::size_t fieldCost(std::size_t nameBytes, std::size_t valueBytes);

// Returns the memory of a head, without the object itself.
std::size_t headCost(const RequestHead& head);

} // namespace tarragonhaven
