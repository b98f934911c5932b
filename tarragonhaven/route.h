#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragonhaven {

// Whether a request on a route must bring an idempotency key.
enum class IdempotencyKeyRule {
    None,
    Required,
};

// One of the services that a route divides its requests among, in proportion to the weights.
struct RouteShare {
    ServiceName service;
    std::int64_t weight = 1;

    friend auto operator<=>(const RouteShare&, const RouteShare&) = default;
    friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

// Leads requests to a service, in one of two ways: by method and path pattern, or, with a host, by the
// longest prefix of the path at that host. A pattern is a path in which a segment "*" stands for any one
// segment and a final "**" for any rest, the empty one included. A prefix begins and ends with a slash.
struct Route {
    RouteName name;
    std::string method;
    std::string pattern;
    ServiceName service;
    // Open to callers without a key.
    bool openToAll = false;
    bool idempotent = false;
    IdempotencyKeyRule idempotencyKeyRule = IdempotencyKeyRule::None;
    // The time that a request may take from its head to the head of its answer.
    util::Duration deadline {};
    // Set for a route by prefix; then `method` and `pattern` are empty.
    std::string host;
    std::string prefix;
    // When not empty, stands in place of `service`.
    std::vector<RouteShare> split;
    // How many targets one request may be run on.
    int attempts = 3;
    // 0 is the most urgent.
    int priority = 0;
    // The time within which an answer is worth its full value; 0 when not declared.
    util::Duration objective {};

    friend auto operator<=>(const Route&, const Route&) = default;
    friend bool operator==(const Route&, const Route&) = default;
};

} // namespace tarragonhaven
