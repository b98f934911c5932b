#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragonhaven {

// Whether requests on a route must have an idempotency key.
enum class IdempotencyKeyRule {
    None,
    Required,
};

// One of the services among which a route divides its requests in proportion to the weights.
struct RouteShare {
    ServiceName service;
    std::int64_t weight = 1;

    friend auto operator<=>(const RouteShare&, const RouteShare&) = default;
    friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

// Maps requests to a service, either by method and path pattern or, if `host` is set, by the longest prefix
// of the path at that host. In a pattern, a segment "*" matches exactly one segment of any value, and a final
// "**" matches any number of remaining segments, including none. A prefix begins and ends with a slash.
struct Route {
    RouteName name;
    std::string method;
    std::string pattern;
    ServiceName service;
    // Whether callers without a key are accepted.
    bool openToAll = false;
    bool idempotent = false;
    IdempotencyKeyRule idempotencyKeyRule = IdempotencyKeyRule::None;
    // The maximum time from the head of a request to the head of its response.
    util::Duration deadline {};
    // Set for a route by prefix, whose `method` and `pattern` are empty.
    std::string host;
    std::string prefix;
    // Replaces `service` if not empty.
    std::vector<RouteShare> split;
    // The maximum number of targets that may run one request.
    int attempts = 3;
    // 0 is the highest priority.
    int priority = 0;
    // The response time within which a response has its full value. 0 if not declared.
    util::Duration objective {};
    // The regions that requests may be sent to; all if not set.
    std::optional<RegionList> allowedRegions;

    friend auto operator<=>(const Route&, const Route&) = default;
    friend bool operator==(const Route&, const Route&) = default;
};

} // namespace tarragonhaven
