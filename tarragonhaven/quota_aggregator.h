#pragma once

#include "tarragonhaven/names.h"
#include "tarragonhaven/quota_usage.h"
#include "util/time.h"

#include <map>
#include <string>
#include <vector>

namespace tarragonhaven {

// Sums up the usage that nodes report under names. A hash selects the aggregator of each name among the
// nodes. The aggregator makes no decisions and holds no state that the next reports do not restore. Reported
// usage decays to zero over the window after a node's last report, as it does at the node itself.
//
// A node that is cut off continues to admit without reporting. Near a limit, the user of this class therefore
// queries nodes without a recent report. Nodes that do not answer count as unresponsive, and a part of the
// limit is reserved for them (WindowQuota::reserveForUnresponsive).
class QuotaAggregator {
public:
    explicit QuotaAggregator(util::Duration window)
        : m_window(window)
    {
    }

    // Records the usage of a node and returns the sum over all other nodes.
    RemoteQuotaUsage recordReport(const InstanceName& node, const QuotaUsage& usage, util::Time now);
    // Returns the nodes to query now for their usage under a name: those without a recent report, each at
    // most once per query interval. Drops unanswered queries to nodes that are not in `nodes`.
    std::vector<InstanceName> nodesToQuery(
        const std::string& name, const std::vector<std::string>& nodes, util::Time now);
    // Returns how many nodes have left a query unanswered for so long that they count as unresponsive.
    [[nodiscard]] std::size_t unresponsiveNodes(const std::string& name, util::Time now) const;
    // Removes names that no node has reported for a window.
    void removeExpired(util::Time now);

    [[nodiscard]] std::size_t size() const { return m_reports.size(); }

private:
    struct NodeReport {
        QuotaUsage usage;
        util::Time receivedAt {};
        // What the node had admitted before it restarted, and when its first report after the restart
        // arrived.
        double admittedBeforeRestart = 0;
        util::Time restartSeenAt {};
    };

    // Estimates how much of a count that was reported at `at` is still within the window at `now`. It falls
    // linearly to zero.
    [[nodiscard]] double decayed(double count, util::Time at, util::Time now) const;

    // When the first and the latest of a node's unanswered queries were sent.
    struct UnansweredQuery {
        util::Time firstSentAt {};
        util::Time lastSentAt {};
    };

    util::Duration m_window;
    std::map<std::string, std::map<InstanceName, NodeReport>> m_reports;
    std::map<std::string, std::map<InstanceName, UnansweredQuery>> m_queries;
};

} // namespace tarragonhaven
