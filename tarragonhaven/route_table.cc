// The table is a tree of segments. The search is depth-first with backtracking and tries a literal segment
// before "*" and "*" before "**", so that it finds the most specific pattern that matches the whole path.

#include "tarragonhaven/route_table.h"

namespace tarragonhaven {

namespace {

    constexpr std::string_view segmentWildcard = "*";
    constexpr std::string_view remainderWildcard = "**";

    const Route* findMethod(const std::map<std::string, Route, std::less<>>& routes, std::string_view method)
    {
        const auto found = routes.find(method);
        return found == routes.end() ? nullptr : &found->second;
    }

} // namespace

RouteTable::RouteTable(const std::vector<Route>& routes)
{
    for (const auto& route : routes)
        add(route);
}

RouteTable::Segments RouteTable::segmentsOf(std::string_view path)
{
    Segments segments;
    if (path.starts_with('/'))
        path.remove_prefix(1);
    while (!path.empty()) {
        const auto slash = path.find('/');
        segments.push_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view {} : path.substr(slash + 1);
    }
    return segments;
}

void RouteTable::add(const Route& route)
{
    auto* node = m_root.get();
    for (const auto segment : segmentsOf(route.pattern)) {
        if (segment == remainderWildcard) {
            node->remainderRoutes.emplace(route.method, route);
            return;
        }
        auto& next
            = segment == segmentWildcard ? node->wildcardChild : node->literalChildren[std::string(segment)];
        if (!next)
            next = std::make_unique<Node>();
        node = next.get();
    }
    node->exactRoutes.emplace(route.method, route);
}

const Route* RouteTable::search(
    const Node& node, const Segments& segments, std::size_t depth, std::string_view method)
{
    if (depth == segments.size()) {
        const auto* exact = findMethod(node.exactRoutes, method);
        return exact ? exact : findMethod(node.remainderRoutes, method);
    }
    const auto literal = node.literalChildren.find(segments[depth]);
    if (literal != node.literalChildren.end()) {
        if (const auto* found = search(*literal->second, segments, depth + 1, method))
            return found;
    }
    if (node.wildcardChild) {
        if (const auto* found = search(*node.wildcardChild, segments, depth + 1, method))
            return found;
    }
    return findMethod(node.remainderRoutes, method);
}

bool RouteTable::hasRoute(const Node& node, const Segments& segments, std::size_t depth)
{
    if (!node.remainderRoutes.empty())
        return true;
    if (depth == segments.size())
        return !node.exactRoutes.empty();
    const auto literal = node.literalChildren.find(segments[depth]);
    if (literal != node.literalChildren.end() && hasRoute(*literal->second, segments, depth + 1))
        return true;
    return node.wildcardChild && hasRoute(*node.wildcardChild, segments, depth + 1);
}

const Route* RouteTable::find(std::string_view method, std::string_view path) const
{
    return search(*m_root, segmentsOf(path), 0, method);
}

bool RouteTable::hasPath(std::string_view path) const { return hasRoute(*m_root, segmentsOf(path), 0); }

} // namespace tarragonhaven
