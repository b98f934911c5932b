#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/quota_usage.h"
#include "util/time.h"

#include <map>
#include <string>
#include <vector>

namespace tarragonhaven {

// Adds up what nodes report under names. The node that a hash finds for a name does this; it decides nothing,
// and keeps nothing that the next reports would not bring again. The use that a node reported fades over a
// window after its last report, as it does at the node itself.
//
// A node that is cut off goes on to admit unheard. So near a limit the nodes that were not heard of lately
// are asked; those that do not answer count as silent, and room is left for them.
class QuotaAggregator {
public:
    explicit QuotaAggregator(util::Duration window)
        : m_window(window)
    {
    }

    // Takes in a node's use and returns that of all others.
    RemoteQuotaUsage recordReport(const InstanceName& node, const QuotaUsage& usage, util::Time now);
    // The nodes that are to be asked now what they use under a name: those that have reported nothing for a
    // while, each once in an interval. Nodes that are not among `nodes` are forgotten.
    std::vector<InstanceName> nodesToQuery(
        const std::string& name, const std::vector<std::string>& nodes, util::Time now);
    // How many nodes have left a question unanswered for so long that they are taken for cut off.
    [[nodiscard]] std::size_t unresponsiveNodes(const std::string& name, util::Time now) const;
    // Drops names that nobody has reported for a window.
    void removeExpired(util::Time now);

    [[nodiscard]] std::size_t size() const { return m_reports.size(); }

private:
    struct NodeReport {
        QuotaUsage usage;
        util::Time receivedAt {};
        // What the node had admitted before it started anew, and when it was heard of so.
        double admittedBeforeRestart = 0;
        util::Time restartSeenAt {};
    };

    // What is left of a count that was true at some time, as the window moves on.
    [[nodiscard]] double decayed(double count, util::Time at, util::Time now) const;

    // Questions without an answer: the first, and the latest.
    struct UnansweredQuery {
        util::Time firstSentAt {};
        util::Time lastSentAt {};
    };

    util::Duration m_window;
    std::map<std::string, std::map<InstanceName, NodeReport>> m_reports;
    std::map<std::string, std::map<InstanceName, UnansweredQuery>> m_queries;
};

} // namespace tarragonhaven
