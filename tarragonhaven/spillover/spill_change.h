#pragma once

#include "tarragonhaven/spillover/spill_plan.h"

#include <optional>

namespace tarragonhaven {

// A change of the shares of requests that go to other data centres, with its inputs, for the log.
struct SpillChange {
    SpillPlan::Shares before;
    SpillPlan::Shares after;
    // Why the shares changed.
    std::string_view reason;
    // What the plan was made from; not set if nothing fresh is known of the own data centre.
    std::optional<SpillInput> input;
    SpillPlan plan;
};

} // namespace tarragonhaven
