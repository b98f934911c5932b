// Prefixes end with a slash, so only the parts of a path up to a slash can match. They are tried from the
// longest to the shortest.

#include "tarragonhaven/prefix_routes.h"

#include "util/text.h"

#include <absl/strings/ascii.h>

namespace tarragonhaven {

namespace {

    std::string normalizedHost(std::string_view field)
    {
        const auto colon = field.rfind(':');
        const bool hasPort
            = colon != std::string_view::npos && field.find(']', colon) == std::string_view::npos;
        return absl::AsciiStrToLower(util::toAbsl(hasPort ? field.substr(0, colon) : field));
    }

} // namespace

PrefixRoutes::PrefixRoutes(const std::vector<Route>& routes)
{
    for (const auto& route : routes) {
        if (!route.host.empty())
            m_hosts[normalizedHost(route.host)].emplace(route.prefix, route);
    }
}

const Route* PrefixRoutes::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_hosts.find(normalizedHost(host));
    if (prefixes == m_hosts.end())
        return nullptr;
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = prefixes->second.find(util::toAbsl(path.substr(0, slash + 1)));
        if (found != prefixes->second.end())
            return &found->second;
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

} // namespace tarragonhaven
