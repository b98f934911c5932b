#pragma once

#include "tarragonhaven/spillover/spill_over.h"

#include <nlohmann/json.hpp>

namespace tarragonhaven {

// Returns the fields of the log line on a change of shares: the shares and the inputs that determined them.
nlohmann::ordered_json logFieldsOf(const SpillOver::ServiceChange& change);

} // namespace tarragonhaven
