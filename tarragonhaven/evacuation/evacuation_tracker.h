#pragma once

#include "tarragonhaven/evacuation/evacuation_change.h"
#include "util/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tarragonhaven {

struct EvacuationOptions {
    // For this long after a restore of the source, an evacuation that was in force and that the copy lacks is
    // kept, because whoever wrote it writes it again. It cannot be kept for good: its withdrawal would not be
    // seen.
    util::Duration missingDelay = std::chrono::seconds(5);
    // For this long after a restore of the source, an evacuation that had been withdrawn and that the copy
    // lists again is not in force, because whoever withdrew it does so again.
    util::Duration returnedDelay = std::chrono::seconds(2);
    // How long the tracker remembers withdrawn evacuations. Longer than a copy from which a source is
    // restored is old.
    util::Duration withdrawnRetention = std::chrono::minutes(2);
};

// Returns the options for a fleet in which no request may reach an evacuated data centre after `bound`.
EvacuationOptions evacuationOptions(util::Duration bound);

// Decides which data centres are evacuated, from what a source lists and the changes that it reports. An
// evacuation stays in force while the source is unreachable: only a withdrawal that was read ends it, or a
// listing without it.
class EvacuationTracker {
public:
    explicit EvacuationTracker(EvacuationOptions options = {})
        : m_options(options)
    {
    }

    // Applies a change; ignored if what is known of the data centre is as new or newer.
    void onChange(const EvacuationChange& change, util::Time now);
    // Applies a complete list of the evacuations as of revision `asOf`, and withdraws those that it lacks.
    void onListing(const std::vector<EvacuationChange>& listed, Revision asOf, util::Time now);
    // Begins an epoch: the source was restored from a copy and gives revisions out again, so what was known
    // before counts as older than any change from now on.
    void beginEpoch(util::Time now);
    // Applies the delays after a restore that have ended.
    void advance(util::Time now);

    // Returns whether advance() has something to do later.
    [[nodiscard]] bool hasPendingChanges() const;
    // Returns the evacuated data centres.
    [[nodiscard]] std::set<DataCentreName> inForce() const;

private:
    struct Entry {
        Revision revision = 0;
        bool inForce = false;
        // When `inForce` changes; set only within a delay after a restore.
        std::optional<util::Time> changesAt;
        // When it was withdrawn, if it is not in force.
        util::Time withdrawnAt {};
    };

    // Returns whether the entry was withdrawn before the source was restored and must wait for its delay.
    [[nodiscard]] bool isReturned(const Entry& entry, util::Time now) const;
    void withdraw(Entry& entry, util::Time now);

    EvacuationOptions m_options;
    std::map<DataCentreName, Entry> m_entries;
    std::optional<util::Time> m_epochBeganAt;
};

} // namespace tarragonhaven
