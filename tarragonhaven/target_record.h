#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/target.h"

#include <compare>
#include <cstdint>

namespace tarragonhaven {

// The record that a target writes about itself to the store from which the fleet discovers its targets.
struct TargetRecord {
    ServiceName service;
    Target target;
    // The number of records that the target has written since its start; of two records of one start, the one
    // with the lower number is older.
    std::uint64_t sequence = 0;
    // The revision of the record in the store.
    Revision revision = 0;
    // The remaining time for which the target is slow because it has just started.
    util::Duration slowStartRemaining {};

    friend auto operator<=>(const TargetRecord&, const TargetRecord&) = default;
    friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

} // namespace tarragonhaven
