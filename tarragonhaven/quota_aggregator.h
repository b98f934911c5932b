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
    // The share of the limit that is admitted while all nodes are recently started. The rest may have been
    // admitted before they started, which they do not know.
    static constexpr double recentlyStartedLimitShare = 0.35;

    explicit QuotaAggregator(util::Duration window)
        : m_window(window)
    {
    }

    // Records the usage of a node and returns the sum over all other nodes.
    RemoteQuotaUsage recordReport(const InstanceName& node, const QuotaUsage& usage, util::Time now);
    // Records that a node was granted admissions. They count until its next report, or for longer if that
    // report was probably sent before the node received the grant.
    void recordGrant(const std::string& name, const InstanceName& node, std::uint32_t count, util::Time now);
    // Returns how many admissions of a node were granted and are not in its report.
    [[nodiscard]] std::uint32_t granted(const std::string& name, const InstanceName& node) const;
    // Returns for which share of the requests of all nodes it is not known what their nodes admitted before.
    // It falls to zero while the window moves past the start of these nodes.
    [[nodiscard]] double unknownHistoryShare(const std::string& name, util::Time now) const;
    // Returns how many admissions of all nodes no limit prevented.
    [[nodiscard]] double unlimited(const std::string& name, util::Time now) const;
    // Returns how many nodes have reported a name recently, and which have done so within the window, but not
    // recently.
    [[nodiscard]] std::size_t reportingNodes(const std::string& name, util::Time now) const;
    [[nodiscard]] std::vector<std::string> silentNodes(const std::string& name, util::Time now) const;
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
        // Whether the node was recently started when it first reported, so that what it admitted before is
        // not known.
        bool historyUnknown = false;
        // Admissions that were granted and are not part of the report, and when the latest were.
        std::uint32_t granted = 0;
        util::Time grantedAt {};
    };

    // Estimates how much of a count that was reported at `at` is still within the window at `now`. Up to an
    // age of `constantFor` the count is used as it is, because it usually grows as fast as it expires; then
    // it falls linearly to zero.
    [[nodiscard]] double decayed(
        double count, util::Time at, util::Time now, util::Duration constantFor = {}) const;

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
