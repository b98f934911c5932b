#include "tarragonhaven/evacuation/region_restriction.h"

#include <absl/strings/str_join.h>

namespace tarragonhaven {

RegionRestriction::RegionRestriction(
    const std::optional<RegionList>& ofRoute, const std::optional<RegionList>& ofOrganisation)
{
    for (const auto* list : { &ofRoute, &ofOrganisation }) {
        if (!*list)
            continue;
        std::set<RegionName> regions((*list)->begin(), (*list)->end());
        if (m_allowed)
            std::erase_if(regions, [this](const RegionName& region) { return !m_allowed->contains(region); });
        m_allowed = std::move(regions);
    }
}

bool RegionRestriction::allows(const DataCentreName& dataCentre, const RegionTable& regions) const
{
    if (!m_allowed)
        return true;
    const auto region = regions.find(dataCentre);
    return region != regions.end() && m_allowed->contains(region->second);
}

std::string RegionRestriction::toString() const
{
    if (!m_allowed)
        return "all";
    if (m_allowed->empty())
        return "none";
    return absl::StrJoin(
        *m_allowed, ", ", [](std::string* text, const RegionName& region) { text->append(region.text); });
}

std::set<RegionName> unknownRegions(const Configuration& configuration, const RegionTable& regions)
{
    std::set<RegionName> unknown;
    const auto add = [&unknown](const std::optional<RegionList>& list) {
        if (list)
            unknown.insert(list->begin(), list->end());
    };
    for (const auto& route : configuration.index().routes)
        add(route.allowedRegions);
    for (const auto& [name, shard] : configuration.shards()) {
        for (const auto& organisation : *shard.organisations)
            add(organisation.allowedRegions);
    }
    for (const auto& [dataCentre, region] : regions)
        unknown.erase(region);
    return unknown;
}

} // namespace tarragonhaven
