#pragma once

#include "tarragonhaven/route.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonhaven {

// Finds the route for a method and a path. At each segment, from left to right, a literal segment takes
// precedence over "*", and "*" over "**". The cost of a lookup is the number of segments of the path times
// the number of patterns that overlap with it, which declarations keep at one or two.
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<Route>& routes);

    // Returns the route, or null if none matches. `path` is the part of the request target before "?".
    [[nodiscard]] const Route* find(std::string_view method, std::string_view path) const;
    // Returns whether `path` has a route for any method.
    [[nodiscard]] bool hasPath(std::string_view path) const;

private:
    struct Node {
        std::map<std::string, std::unique_ptr<Node>, std::less<>> literalChildren;
        std::unique_ptr<Node> wildcardChild;
        // By method: routes whose pattern ends at this node, and routes whose pattern ends here with "**".
        std::map<std::string, Route, std::less<>> exactRoutes;
        std::map<std::string, Route, std::less<>> remainderRoutes;
    };
    using Segments = std::vector<std::string_view>;

    static Segments segmentsOf(std::string_view path);
    void add(const Route& route);
    static const Route* search(
        const Node& node, const Segments& segments, std::size_t depth, std::string_view method);
    static bool hasRoute(const Node& node, const Segments& segments, std::size_t depth);

    std::shared_ptr<Node> m_root = std::make_shared<Node>();
};

} // namespace tarragonhaven
