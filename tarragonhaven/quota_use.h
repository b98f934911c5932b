#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace tarragonhaven {

// What one node has let through of an organisation's requests in the window, and what was asked of it.
struct QuotaUse {
    std::string organisation;
    std::uint32_t admitted = 0;
    std::uint32_t asked = 0;
    // Whether the node has run for less than the window, so that it does not know all that it let through.
    bool young = false;
    MSGPACK_DEFINE_ARRAY(organisation, admitted, asked, young);

    friend auto operator<=>(const QuotaUse&, const QuotaUse&) = default;
    friend bool operator==(const QuotaUse&, const QuotaUse&) = default;
};

// The same of all nodes but the one that is told.
struct QuotaElsewhere {
    std::string organisation;
    std::uint32_t admitted = 0;
    std::uint32_t asked = 0;
    // The share of those that were asked of young nodes, from 0 to 1.
    double youngShare = 0;
    MSGPACK_DEFINE_ARRAY(organisation, admitted, asked, youngShare);

    friend auto operator<=>(const QuotaElsewhere&, const QuotaElsewhere&) = default;
    friend bool operator==(const QuotaElsewhere&, const QuotaElsewhere&) = default;
};

} // namespace tarragonhaven
