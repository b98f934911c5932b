#pragma once

#include "util/error.h"

#include <compare>
#include <cstddef>

namespace tarragonhaven {

// Settings of the connections that a node accepts. A total of 0 is derived from the descriptors of the
// process, see connectionLimits().
struct ConnectionSettings {
    std::size_t callers = 0;
    std::size_t peers = 0;
    std::size_t operators = 0;
    // The part of the connections of a port that may come from one address. All callers may share one
    // address, so that only a small part is left to others.
    double addressShare = 0.95;
    std::size_t reservedDescriptors = 200;

    friend auto operator<=>(const ConnectionSettings&, const ConnectionSettings&) = default;
    friend bool operator==(const ConnectionSettings&, const ConnectionSettings&) = default;
};

// The settings as read from flags.
struct RawConnectionSettings {
    double callers = 0;
    double peers = 0;
    double operators = 0;
    double addressShare = 0.95;
    double reservedDescriptors = 200;
};

// Checks the settings and adds each fault under the name of its flag.
ConnectionSettings parseConnectionSettings(const RawConnectionSettings& raw, util::Faults& faults);

} // namespace tarragonhaven
