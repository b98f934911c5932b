#pragma once

#include "tarragonhaven/directory.h"
#include "tarragonhaven/target_record.h"
#include "util/time.h"

#include <map>
#include <optional>
#include <vector>

namespace tarragonhaven {

struct DirectoryOptions {
    // How long after an outage of the source a record that is missing may still come back, since targets
    // could not renew theirs meanwhile.
    util::Duration outageGrace = std::chrono::milliseconds(2200);
    std::uint16_t peerPort = 0;
};

// Keeps the directory of targets from the records that a source lists and the changes that it reports. It
// decides which record of a target is the newest, and when a target is gone:
//
// - a later start (birth) of a target goes before an earlier one, whatever order the records come in; within
//   a start the higher sequence does;
// - of two targets at one address only the later start can be there: the other is marked as leaving;
// - a record that is removed takes its target away at once, unless the source was out of reach a moment ago:
//   then the target has `outageGrace` to register again.
//
// Costs O(log n) a change and O(n log n) for the directory after changes.
class DirectoryTracker {
public:
    explicit DirectoryTracker(DirectoryOptions options)
        : m_options(options)
    {
    }

    void onRecord(const TargetRecord& record, util::Time now);
    void onRemoved(const TargetName& name, Revision revision, util::Time now);
    // Takes in a complete list as of a revision: what is not in it is removed.
    void onListing(const std::vector<TargetRecord>& records, Revision asOf, util::Time now);
    // Notes that the source does not answer now.
    void onSourceLost(util::Time now) { m_sourceLost = now; }
    // Drops targets whose grace has passed.
    void advance(util::Time now);

    // Whether a target's grace is running.
    [[nodiscard]] bool hasPendingRemovals() const;
    // The directory, or null when nothing has changed since the last call.
    DirectoryPointer takeIfChanged();

private:
    struct Entry {
        TargetRecord record;
        util::Time coldUntil {};
        // Set while the record is missing: when the target is dropped.
        std::optional<util::Time> removeAt;
    };

    [[nodiscard]] bool inOutageGrace(util::Time now) const;

    DirectoryOptions m_options;
    std::map<TargetName, Entry> m_entries;
    std::optional<util::Time> m_sourceLost;
    bool m_complete = false;
    bool m_changed = false;
};

} // namespace tarragonhaven
