#pragma once

#include "tarragonhaven/target.h"
#include "tarragonhaven/target_notice.h"
#include "tarragonhaven/target_report.h"
#include "util/time.h"

#include <cstdint>
#include <map>

namespace tarragonhaven {

// What targets have announced about themselves, as an entry node learned it from their guards. It outlasts
// the guards' reports and the directory: a guard that restarts does not know what its target announced
// before, and a target that the directory loses may return. An announced stop is final. A later start of a
// target begins without notices. Targets that have never announced anything take no memory.
class TargetNoticeTable {
public:
    // Records the announcements in a report. Reports on an earlier start of the target are ignored.
    void record(const TargetName& target, const TargetReport& report, util::Time now);
    // Returns what this start of the target has announced.
    [[nodiscard]] TargetNotice find(const Target& target) const;
    [[nodiscard]] bool empty() const { return m_entries.empty(); }
    // Removes notices that no report has confirmed for `retention`.
    void removeExpired(util::Time now);

    static constexpr util::Duration retention = std::chrono::minutes(10);

private:
    struct Entry {
        std::int64_t startTimeMs = 0;
        TargetNotice notice;
        util::Time reportedAt {};
    };

    std::map<TargetName, Entry> m_entries;
};

} // namespace tarragonhaven
