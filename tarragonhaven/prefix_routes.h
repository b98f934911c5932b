#pragma once

#include "tarragonhaven/route.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonhaven {

// Finds the route of a host and a path by the longest prefix that begins the path. Hosts compare without case
// and without a port. A lookup costs one hash lookup for each slash of the path.
//
//   PrefixRoutes routes(declared);
//   if (const auto* route = routes.find("shop.example", "/cart/7/items"))
//       ...
class PrefixRoutes {
public:
    PrefixRoutes() = default;
    // Takes the routes that have a host; others are left aside.
    explicit PrefixRoutes(const std::vector<Route>& routes);

    // The route, or null. `path` is the part of the request target before "?".
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] bool empty() const { return m_hosts.empty(); }

private:
    using ByPrefix = absl::flat_hash_map<std::string, Route>;

    absl::flat_hash_map<std::string, ByPrefix> m_hosts;
};

} // namespace tarragonhaven
