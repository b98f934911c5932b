// One pass over the entry nodes that have used the target within the last 30 s.

#include "tarragonhaven/report_recipients.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    constexpr util::Duration ownRetention = std::chrono::seconds(30);
    constexpr util::Duration otherRetention = std::chrono::seconds(5);
    // The minimum time between two reports to an entry node in another data centre.
    constexpr util::Duration otherInterval = std::chrono::seconds(1);
    constexpr std::size_t maximumOwn = 12;
    constexpr std::size_t maximumOther = 2;

} // namespace

void ReportRecipients::takeTurn(std::vector<InstanceName>& candidates, std::size_t maximum, std::size_t& next)
{
    if (candidates.size() <= maximum)
        return;
    const auto first = candidates.begin() + static_cast<std::ptrdiff_t>(next % candidates.size());
    std::rotate(candidates.begin(), first, candidates.end());
    next += maximum;
    candidates.resize(maximum);
}

std::vector<InstanceName> ReportRecipients::take(
    const DataCentreName& ownDataCentre, const DataCentreOf& dataCentreOf, util::Time now)
{
    std::erase_if(m_entries, [now](const auto& item) { return now - item.second.lastUse > ownRetention; });
    std::vector<InstanceName> own;
    std::vector<InstanceName> others;
    for (const auto& [entry, use] : m_entries) {
        const auto dataCentre = dataCentreOf(entry);
        if (dataCentre == ownDataCentre)
            own.push_back(entry);
        else if (!dataCentre.text.empty() && now - use.lastUse <= otherRetention
            && now - use.lastReport >= otherInterval)
            others.push_back(entry);
    }
    takeTurn(own, maximumOwn, m_nextOwn);
    takeTurn(others, maximumOther, m_nextOther);
    own.insert(own.end(), others.begin(), others.end());
    for (const auto& entry : own)
        m_entries[entry].lastReport = now;
    return own;
}

} // namespace tarragonhaven
