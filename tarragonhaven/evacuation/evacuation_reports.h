#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/revision.h"
#include "util/time.h"

#include <map>
#include <vector>

namespace tarragonhaven {

// The evacuations that an entry node knows from reports and refusals of guards only, because the store does
// not answer it. Without them a request would be sent to the targets of the data centre one after another
// until its attempts are used up. A report counts for two seconds, since its withdrawal may not be reported;
// the next request then finds out.
class EvacuationReports {
public:
    static constexpr util::Duration retention = std::chrono::seconds(2);

    // Records that a guard of the data centre reports its evacuation as of a position in the store's history.
    // Returns whether no other report of the evacuation was in force.
    bool record(const DataCentreName& dataCentre, const StorePosition& asOf, util::Time now);
    // Returns whether a report says so that is newer than the entry node's directory.
    [[nodiscard]] bool isEvacuated(
        const DataCentreName& dataCentre, const StorePosition& directoryAsOf, util::Time now) const;
    [[nodiscard]] bool empty() const { return m_entries.empty(); }
    // Removes what no report has confirmed for `retention`, and returns these data centres.
    std::vector<DataCentreName> takeExpired(util::Time now);

private:
    struct Entry {
        StorePosition asOf;
        util::Time reportedAt {};
    };

    std::map<DataCentreName, Entry> m_entries;
};

} // namespace tarragonhaven
