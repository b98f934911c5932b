#pragma once

#include "tarragonhaven/route.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonhaven {

// Finds the route for a host and a path by the longest matching prefix of the path. Hosts are compared
// without case and without the port. A lookup costs one hash lookup for each slash of the path.
//
//   PrefixRoutes routes(declared);
//   if (const auto* route = routes.find("shop.example", "/cart/7/items"))
//       ...
class PrefixRoutes {
public:
    PrefixRoutes() = default;
    // Uses the routes that have a host and ignores all others.
    explicit PrefixRoutes(const std::vector<Route>& routes);

    // Returns the route, or null if none matches. `path` is the part of the request target before "?".
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] bool empty() const { return m_hosts.empty(); }

private:
    using ByPrefix = absl::flat_hash_map<std::string, Route>;

    absl::flat_hash_map<std::string, ByPrefix> m_hosts;
};

} // namespace tarragonhaven
