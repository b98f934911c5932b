#pragma once

#include "tarragonhaven/control_message.h"
#include "tarragonhaven/fleet_policy.h"
#include "tarragonhaven/limits/pending_retries.h"
#include "tarragonhaven/limits/retry_allowance.h"
#include "tarragonhaven/quota_aggregator.h"
#include "tarragonhaven/window_quota.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tarragonhaven {

// The part of one node in the limits that all nodes enforce together: what it admits itself, and the names
// that it aggregates for all nodes. Messages and times go in and out as values, so a test can run a fleet of
// these objects over a network of its own.
class QuotaNode {
public:
    using DecisionHandler = std::function<void(const QuotaDecision&)>;
    // Returns the limit of an organisation over the window, or nullopt if it has none.
    using LimitOf = std::function<std::optional<double>(const std::string&)>;

    struct Settings {
        InstanceName self;
        FleetPolicy policy;
        util::Time started {};
        LimitOf limitOf;
    };
    struct OutgoingMessage {
        InstanceName to;
        ControlMessage message;
    };
    // An aggregator that stopped or resumed to reply.
    struct AggregatorChange {
        InstanceName aggregator;
        bool lost = false;
    };
    // The retries of a service that this node granted and denied, and how many more the limit over all nodes
    // allowed after the latest decision.
    struct RetryCounts {
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
        double remaining = 0;
    };

    explicit QuotaNode(Settings settings);

    // Replaces the nodes that limits are divided among, this one included.
    void setMembers(std::vector<std::string> nodes);
    // Decides on a request of an organisation with a limit. The handler runs at once if the node can decide,
    // otherwise when remote usage has arrived or is overdue.
    void admit(const std::string& organisation, double limit, util::Time now, DecisionHandler handler);
    void recordFirstAttempt(const std::string& service, util::Time now);
    // Records a repeat that no limit prevents: a nested request of a run that was itself a repeat.
    void recordNestedRepeat(const std::string& service, util::Time now);
    // Decides on a retry. The handler runs at once if much of the limit is left, otherwise when the
    // aggregator has replied or its reply is overdue.
    void acquireRetry(const std::string& service, int rank, util::Time now, PendingRetries::Handler handler);
    // Takes one retry if less than `share` of the retry limit is used, as far as this node knows.
    bool tryAcquireRetry(const std::string& service, double share, util::Time now);
    void returnRetry(const std::string& service, util::Time now);
    // Drops all requests and retries that wait for a decision.
    void abandonWaiting();

    // Handle messages of other nodes, and return the reply to the sender, if any. Messages of an unknown
    // QuotaKind are ignored.
    std::optional<RemoteQuotaUsageMessage> receive(
        const InstanceName& from, const QuotaReportMessage& message, util::Time now);
    std::optional<QuotaReportMessage> receive(const QuotaQueryMessage& message, util::Time now);
    void receive(const InstanceName& from, const RemoteQuotaUsageMessage& message, util::Time now);
    // Makes the reports that are due, and decides requests that have waited too long for remote usage.
    void tick(util::Time now);
    // Returns the messages to send since the last call.
    std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(m_outgoing, {}); }
    std::vector<AggregatorChange> takeAggregatorChanges() { return std::exchange(m_aggregatorChanges, {}); }

    [[nodiscard]] const std::map<std::string, RetryCounts>& retryCounts() const { return m_retryCounts; }
    [[nodiscard]] std::size_t members() const { return m_nodes.size(); }
    [[nodiscard]] std::size_t unresponsiveAggregators() const { return m_unresponsiveAggregators.size(); }
    [[nodiscard]] std::size_t waitingRequests() const { return m_waiting.size() + m_pendingRetries.size(); }

private:
    // The state of one quota kind: this node's usage, and the usage that it aggregates for other nodes.
    struct KindState {
        WindowQuota quota;
        QuotaAggregator aggregator;
    };
    // A request that waits for remote usage.
    struct WaitingRequest {
        std::string organisation;
        DecisionHandler handler;
        util::Time deadline {};
    };

    static KindState makeState(const QuotaOptions& options, util::Time started);
    KindState& stateOf(QuotaKind kind) { return m_states.at(static_cast<std::size_t>(kind)); }
    // Records a node's usage and returns that of all other nodes. Near the limit it includes the reserve for
    // nodes that are cut off.
    RemoteQuotaUsage aggregate(
        QuotaKind kind, const InstanceName& node, const QuotaUsage& usage, util::Time now);
    // Grants retries that a node asks for, if the limit allows them.
    void grantRetries(
        const InstanceName& node, const QuotaUsage& usage, RemoteQuotaUsage& remote, util::Time now);
    // Returns how many retries of a service the nodes may take together of which this node aggregates the
    // usage, `requested` of the requests being theirs.
    [[nodiscard]] double retryAllowance(const std::string& service, double requested, util::Time now);
    [[nodiscard]] QuotaLimit retryLimit(const std::string& service, util::Time now);
    bool takeReturnedRetry(const std::string& service, util::Time now);
    void countRetry(const std::string& service, const QuotaDecision& decision);
    void decidePendingRetries(const RemoteQuotaUsage& remote, util::Time now);
    void decideRetriesAlone(
        const std::string& service, const std::vector<PendingRetries::Retry>& retries, util::Time now);
    void handleRemote(QuotaKind kind, const RemoteQuotaUsage& remote, util::Time now);
    // Returns whether this node is the first in the order of candidates for a name, and not a substitute.
    [[nodiscard]] bool isFirstCandidate(const std::string& name);
    // Returns the node that aggregates a name, or an empty name if there is none.
    [[nodiscard]] InstanceName aggregatorOf(QuotaKind kind, const std::string& name);
    void updateUnresponsiveAggregators(util::Time now);
    void sendReports(QuotaKind kind, const std::string& urgent, util::Time now);
    void decideWaiting(const std::string& organisation, bool final, util::Time now);
    void expireWaiting(util::Time now);

    Settings m_settings;
    std::vector<std::string> m_nodes;
    std::array<KindState, 2> m_states;
    std::vector<WaitingRequest> m_waiting;
    std::vector<OutgoingMessage> m_outgoing;
    std::vector<AggregatorChange> m_aggregatorChanges;
    std::map<std::pair<QuotaKind, std::string>, InstanceName> m_aggregators;
    // For each name whether this node is the first candidate.
    std::map<std::string, bool> m_firstCandidates;
    // For each aggregator that owes replies, when the first report without a reply was sent.
    std::map<InstanceName, util::Time> m_unansweredReports;
    // Until when each unresponsive aggregator is avoided.
    std::map<InstanceName, util::Time> m_unresponsiveAggregators;
    // Aggregators that became unresponsive and have not replied since.
    std::set<InstanceName> m_lostAggregators;
    PendingRetries m_pendingRetries;
    // Until when the limit on a service's retries counts as used up.
    std::map<std::string, util::Time> m_exhaustedUntil;
    // The allowances of the services that this node aggregates.
    std::map<std::string, RetryAllowance> m_allowances;
    std::map<std::string, RetryCounts> m_retryCounts;
    // When retries were given back that still count as used.
    std::map<std::string, std::vector<util::Time>> m_returnedRetries;
    util::Time m_nextCleanup {};
};

} // namespace tarragonhaven
