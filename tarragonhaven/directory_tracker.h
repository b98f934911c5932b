#pragma once

#include "tarragonhaven/directory.h"
#include "tarragonhaven/evacuation/evacuation_tracker.h"
#include "tarragonhaven/target_record.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tarragonhaven {

struct DirectoryOptions {
    // For this long after the source was last found unreachable, targets whose records are missing are kept,
    // because targets could not renew their records during the outage and may register again.
    util::Duration outageGrace = std::chrono::milliseconds(2200);
    // For this long after a restore of the source, targets that had been removed and that the copy lists
    // again are not used. A record of a target that does not live is removed again within this time.
    util::Duration restoredRecordDelay = std::chrono::seconds(5);
    // How long the tracker remembers removed targets. Longer than a copy from which a source is restored is
    // old.
    util::Duration removedRetention = std::chrono::minutes(2);
    // The port at which the nodes of the targets' instances accept links from other nodes.
    std::uint16_t peerPort = 0;
    EvacuationOptions evacuation;
};

// Builds the directory of targets from the records that a source lists and the changes that it reports. The
// tracker decides which record of a target is the newest and when a target is removed:
//
// - The record of a later start of a target replaces that of an earlier start, in whichever order the two
//   arrive. Among records of one start, the higher sequence number wins.
// - Two targets cannot listen at one address, so only the one that started later is used; the other is marked
//   as leaving. A target of a service that is not declared never takes precedence over one that is.
// - When a record is removed, its target is removed at once, unless the source was unreachable within the
//   last `outageGrace`. In that case the target is kept until `outageGrace` after the source was last
//   unreachable, so that it can register again.
//
// A change takes O(log n) time; building the directory after changes takes O(n log n).
class DirectoryTracker {
public:
    explicit DirectoryTracker(DirectoryOptions options)
        : m_options(options)
    {
    }

    // Applies a record that was written or listed.
    void onRecord(const TargetRecord& record, util::Time now);
    // Applies the removal of a record at `revision`; ignored if the known record is as new or newer.
    void onRemoved(const TargetName& name, Revision revision, util::Time now);
    // Applies a complete list of the records as of revision `asOf` and removes the targets that it lacks.
    void onListing(const std::vector<TargetRecord>& records, Revision asOf, util::Time now);
    // Begins an epoch: the source was restored from a copy and gives revisions out again, so what was known
    // before counts as older than any record and removal from now on. Records of an earlier start or state of
    // a target are still ignored. Targets that the copy lacks get a grace period, as after an outage.
    void beginEpoch(util::Time now);
    // Sets the services that are declared. Before the first call all services count as declared.
    void setDeclaredServices(std::set<ServiceName> services);
    // Sets the data centres whose targets get no new requests.
    void setEvacuated(std::set<DataCentreName> dataCentres);
    // Records that the source is unreachable at `now`.
    void onSourceLost(util::Time now) { m_sourceLostAt = now; }
    // Removes the targets whose records were still missing at the end of the grace period, and uses those
    // that a restored source still lists after the delay.
    void advance(util::Time now);

    // Returns whether advance() has something to do later: a target without a record is kept for its grace
    // period, or a restored record is not used yet.
    [[nodiscard]] bool hasPendingChanges() const;
    // Makes the next takeIfChanged() return the directory even if it has not changed.
    void markChanged() { m_changed = true; }
    // Returns the directory, or null if it has not changed since the last call. `asOf` is the position
    // up to which all changes were applied.
    DirectoryPointer takeIfChanged(StorePosition asOf = {});

private:
    struct Entry {
        TargetRecord record;
        util::Time slowStartUntil {};
        // The time at which the target is removed; set only while its record is missing.
        std::optional<util::Time> removeAt;
        // The time from which the target is used; set only for a record that a copy has brought back.
        std::optional<util::Time> usedFrom;
    };
    struct RemovedTarget {
        std::int64_t startTimeMs = 0;
        util::Time at {};
    };

    [[nodiscard]] bool inOutageGrace(util::Time now) const;
    // Returns whether the listed record is one of a target that was removed before the source was restored.
    [[nodiscard]] bool isRestored(const TargetRecord& record, util::Time now) const;

    [[nodiscard]] bool isDeclared(const ServiceName& service) const;

    DirectoryOptions m_options;
    std::optional<std::set<ServiceName>> m_declaredServices;
    std::set<DataCentreName> m_evacuated;
    std::map<TargetName, Entry> m_entries;
    std::map<TargetName, RemovedTarget> m_removed;
    std::optional<util::Time> m_sourceLostAt;
    std::optional<util::Time> m_epochBeganAt;
    bool m_hasListing = false;
    bool m_changed = false;
};

} // namespace tarragonhaven
