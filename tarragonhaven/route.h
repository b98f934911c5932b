#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <string>

namespace tarragonhaven {

// Whether a request on a route must bring an idempotency key.
enum class IdentityRule {
    None,
    Required,
};

// Leads requests of one method and path pattern to a service. A pattern is a path in which a segment "*"
// stands for any one segment and a final "**" for any rest, the empty one included.
struct Route {
    RouteName name;
    std::string method;
    std::string pattern;
    ServiceName service;
    // Open to callers without a key.
    bool openToAll = false;
    bool idempotent = false;
    IdentityRule identity = IdentityRule::None;
    // The time that a request may take from its head to the head of its answer.
    util::Duration deadline {};

    friend auto operator<=>(const Route&, const Route&) = default;
    friend bool operator==(const Route&, const Route&) = default;
};

} // namespace tarragonhaven
