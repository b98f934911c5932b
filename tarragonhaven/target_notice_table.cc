#include "tarragonhaven/target_notice_table.h"

namespace tarragonhaven {

void TargetNoticeTable::record(const TargetName& target, const TargetReport& report, util::Time now)
{
    const auto known = m_entries.find(target);
    if (known == m_entries.end() && !report.requestLimit && !report.announcedLeaving)
        return;
    auto& entry = known == m_entries.end() ? m_entries[target] : known->second;
    if (report.startTimeMs < entry.startTimeMs)
        return;
    if (report.startTimeMs > entry.startTimeMs)
        entry = { report.startTimeMs, {}, now };
    entry.reportedAt = now;
    entry.notice.leaving = entry.notice.leaving || report.announcedLeaving;
    if (report.limitKnown || !entry.notice.requestsPerSecond)
        entry.notice.requestsPerSecond = report.requestLimit;
}

TargetNotice TargetNoticeTable::find(const Target& target) const
{
    const auto found = m_entries.find(target.name);
    const bool known = found != m_entries.end() && found->second.startTimeMs == target.startTimeMs;
    return known ? found->second.notice : TargetNotice {};
}

void TargetNoticeTable::removeExpired(util::Time now)
{
    std::erase_if(m_entries, [now](const auto& item) { return now - item.second.reportedAt > retention; });
}

} // namespace tarragonhaven
