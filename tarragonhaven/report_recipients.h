#pragma once

#include "tarragonhaven/names.h"
#include "util/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace tarragonhaven {

// The entry nodes that get the reports which a guard sends about its target on its own initiative.
//
// Entry nodes in the target's data centre get them while they have used the target within 30 s. Entry nodes
// in other data centres normally use targets of their own, and the links between data centres are dear, so
// they get a report only if they have used the target within 5 s, and at most once a second. Any other entry
// node learns the same from the response or refusal to its next request. Each call returns at most twelve
// entry nodes of the own data centre and two of others, in turn.
class ReportRecipients {
public:
    // Returns the data centre of an instance; an empty name if it is unknown.
    using DataCentreOf = std::function<DataCentreName(const InstanceName&)>;

    // Records a request of an entry node.
    void recordUse(const InstanceName& entry, util::Time now) { m_entries[entry].lastUse = now; }
    // Returns the entry nodes to which a report has to be sent now. Entry nodes whose data centre is unknown
    // get none.
    std::vector<InstanceName> take(
        const DataCentreName& ownDataCentre, const DataCentreOf& dataCentreOf, util::Time now);

private:
    struct EntryUse {
        util::Time lastUse {};
        util::Time lastReport {};
    };

    // Moves the recipients of this turn to the front of `candidates` and removes the others.
    static void takeTurn(std::vector<InstanceName>& candidates, std::size_t maximum, std::size_t& next);

    std::map<InstanceName, EntryUse> m_entries;
    // Indexes, modulo the number of candidates, of the first one in the next turn.
    std::size_t m_nextOwn = 0;
    std::size_t m_nextOther = 0;
};

} // namespace tarragonhaven
