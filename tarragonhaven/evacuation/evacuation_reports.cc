#include "tarragonhaven/evacuation/evacuation_reports.h"

#include <algorithm>

namespace tarragonhaven {

bool EvacuationReports::record(const DataCentreName& dataCentre, const StorePosition& asOf, util::Time now)
{
    const auto [entry, added] = m_entries.try_emplace(dataCentre);
    entry->second.asOf = std::max(entry->second.asOf, asOf);
    entry->second.reportedAt = now;
    return added;
}

bool EvacuationReports::isEvacuated(
    const DataCentreName& dataCentre, const StorePosition& directoryAsOf, util::Time now) const
{
    const auto found = m_entries.find(dataCentre);
    return found != m_entries.end() && found->second.asOf > directoryAsOf
        && now - found->second.reportedAt <= retention;
}

std::vector<DataCentreName> EvacuationReports::takeExpired(util::Time now)
{
    std::vector<DataCentreName> expired;
    std::erase_if(m_entries, [now, &expired](const auto& item) {
        const bool old = now - item.second.reportedAt > retention;
        if (old)
            expired.push_back(item.first);
        return old;
    });
    return expired;
}

} // namespace tarragonhaven
