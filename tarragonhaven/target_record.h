#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/target.h"

#include <compare>
#include <cstdint>

namespace tarragonhaven {

// What a target registers of itself where the fleet discovers its targets.
struct TargetRecord {
    ServiceName service;
    Target target;
    // Counts what the target has written since its start; a lower number of the same start is older.
    std::uint64_t sequence = 0;
    // The revision of the record in the place where it was read.
    Revision revision = 0;
    // How much longer the target is slow after its start.
    util::Duration coldLeft {};

    friend auto operator<=>(const TargetRecord&, const TargetRecord&) = default;
    friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

} // namespace tarragonhaven
