#include "tarragonhaven/limits/quota_node.h"

#include "tarragonhaven/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace tarragonhaven {

namespace {

    // An aggregator replies within one round trip. One that has not replied after this time is avoided for
    // `unresponsivePeriod`.
    constexpr util::Duration reportTimeout = std::chrono::milliseconds(400);
    // How long a request waits for remote usage before it is decided without.
    constexpr util::Duration remoteUsageTimeout = std::chrono::milliseconds(150);
    constexpr util::Duration unresponsivePeriod = std::chrono::seconds(3);
    constexpr util::Duration cleanupInterval = std::chrono::seconds(2);
    // Up to this share of the limit, nodes take retries without asking. If all requests of a service fail at
    // once, the nodes take retries for about as many seconds as their knowledge is old; the rest of the limit
    // covers these.
    constexpr double farBelowRetryShare = 0.5;
    QuotaOptions requestOptions(const FleetPolicy& policy)
    {
        QuotaOptions options;
        options.window = policy.quotaWindow;
        options.overshoot = policy.quotaOvershoot;
        options.slack = policy.quotaSlack;
        return options;
    }

    // Retries are few, so their counts are reported at the idle interval only.
    QuotaOptions retryOptions(const FleetPolicy& policy)
    {
        QuotaOptions options;
        options.window = policy.retryWindow;
        options.overshoot = 0;
        options.slack = 0;
        options.busyReportRequests = std::numeric_limits<int>::max();
        options.granted = true;
        options.farBelowShare = farBelowRetryShare;
        return options;
    }

    // Returns the kind that a message names, or nullopt if this node does not know it.
    std::optional<QuotaKind> kindOf(int kind)
    {
        const bool known
            = kind == static_cast<int>(QuotaKind::Requests) || kind == static_cast<int>(QuotaKind::Retries);
        return known ? std::optional(static_cast<QuotaKind>(kind)) : std::nullopt;
    }

} // namespace

QuotaNode::KindState QuotaNode::makeState(const QuotaOptions& options, util::Time started)
{
    return { WindowQuota(options, started), QuotaAggregator(options.window) };
}

QuotaNode::QuotaNode(Settings settings)
    : m_settings(std::move(settings))
    , m_states { makeState(requestOptions(m_settings.policy), m_settings.started),
        makeState(retryOptions(m_settings.policy), m_settings.started) }
{
}

void QuotaNode::setMembers(std::vector<std::string> nodes)
{
    if (nodes == m_nodes)
        return;
    m_nodes = std::move(nodes);
    m_aggregators.clear();
    m_firstCandidates.clear();
    std::erase_if(m_lostAggregators, [this](const InstanceName& node) {
        return std::find(m_nodes.begin(), m_nodes.end(), node.text) == m_nodes.end();
    });
}

bool QuotaNode::isFirstCandidate(const std::string& name)
{
    auto found = m_firstCandidates.find(name);
    if (found == m_firstCandidates.end()) {
        const auto first = std::max_element(
            m_nodes.begin(), m_nodes.end(), [&name](const std::string& a, const std::string& b) {
                return rendezvousWeight(name, a) < rendezvousWeight(name, b);
            });
        const bool isFirst = first == m_nodes.end() || *first == m_settings.self.text;
        found = m_firstCandidates.emplace(name, isFirst).first;
    }
    return found->second;
}

InstanceName QuotaNode::aggregatorOf(QuotaKind kind, const std::string& name)
{
    const auto known = m_aggregators.find({ kind, name });
    if (known != m_aggregators.end())
        return known->second;
    InstanceName aggregator;
    for (const auto& candidate : rendezvousOrder(name, m_nodes)) {
        if (m_unresponsiveAggregators.contains({ candidate }))
            continue;
        aggregator = { candidate };
        break;
    }
    m_aggregators.emplace(std::pair(kind, name), aggregator);
    return aggregator;
}

void QuotaNode::admit(const std::string& organisation, double limit, util::Time now, DecisionHandler handler)
{
    auto& quota = stateOf(QuotaKind::Requests).quota;
    quota.recordRequested(organisation, now);
    const auto decision = quota.decide(organisation, limit, m_nodes.size(), now, false);
    if (decision.reason != QuotaReason::Unsure)
        return handler(decision);
    const bool isReportPending = std::any_of(m_waiting.begin(), m_waiting.end(),
        [&](const WaitingRequest& waiting) { return waiting.organisation == organisation; });
    m_waiting.push_back({ organisation, std::move(handler), now + remoteUsageTimeout });
    if (!isReportPending)
        sendReports(QuotaKind::Requests, organisation, now);
}

// Decides again on the waiting requests of an organisation, once its remote usage has arrived or is overdue.
void QuotaNode::decideWaiting(const std::string& organisation, bool final, util::Time now)
{
    // Remote usage may reach a node that has no declarations yet. No request waits then.
    if (m_waiting.empty())
        return;
    const auto first = std::stable_partition(m_waiting.begin(), m_waiting.end(),
        [&](const WaitingRequest& waiting) { return waiting.organisation != organisation; });
    const std::vector<WaitingRequest> ready(
        std::make_move_iterator(first), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(first, m_waiting.end());
    const auto limit = m_settings.limitOf(organisation);
    auto& quota = stateOf(QuotaKind::Requests).quota;
    for (const auto& waiting : ready)
        waiting.handler(limit ? quota.decide(organisation, *limit, m_nodes.size(), now, final)
                              : QuotaDecision { true, QuotaReason::FarBelow });
}

void QuotaNode::abandonWaiting()
{
    m_waiting.clear();
    m_pendingRetries = {};
}

void QuotaNode::expireWaiting(util::Time now)
{
    std::set<std::string> expired;
    for (const auto& waiting : m_waiting) {
        if (now >= waiting.deadline)
            expired.insert(waiting.organisation);
    }
    for (const auto& organisation : expired)
        decideWaiting(organisation, true, now);
}

RemoteQuotaUsage QuotaNode::aggregate(
    QuotaKind kind, const InstanceName& node, const QuotaUsage& usage, util::Time now)
{
    auto& [quota, aggregator] = stateOf(kind);
    auto remote = aggregator.recordReport(node, usage, now);
    const auto limit = kind == QuotaKind::Requests ? m_settings.limitOf(usage.name) : std::optional<double>();
    if (kind == QuotaKind::Retries)
        grantRetries(node, usage, remote, now);
    if (!limit || !WindowQuota::nearLimit(usage.admitted + remote.admitted, *limit))
        return remote;
    for (const auto& peer : aggregator.nodesToQuery(usage.name, m_nodes, now)) {
        if (peer == m_settings.self)
            aggregator.recordReport(peer, quota.localUsage(usage.name, now), now);
        else
            m_outgoing.push_back({ peer, QuotaQueryMessage { static_cast<int>(kind), { usage.name } } });
    }
    remote.admitted += static_cast<std::uint32_t>(
        quota.reserveForUnresponsive(aggregator.unresponsiveNodes(usage.name, now), *limit, m_nodes.size()));
    return remote;
}

std::optional<QuotaReportMessage> QuotaNode::receive(const QuotaQueryMessage& message, util::Time now)
{
    const auto kind = kindOf(message.kind);
    if (!kind)
        return std::nullopt;
    QuotaReportMessage report;
    report.kind = message.kind;
    for (const auto& name : message.names)
        report.usages.push_back(stateOf(*kind).quota.localUsage(name, now));
    return report;
}

std::optional<RemoteQuotaUsageMessage> QuotaNode::receive(
    const InstanceName& from, const QuotaReportMessage& message, util::Time now)
{
    const auto kind = kindOf(message.kind);
    if (!kind)
        return std::nullopt;
    RemoteQuotaUsageMessage reply;
    reply.kind = message.kind;
    for (const auto& usage : message.usages) {
        auto remote = aggregate(*kind, from, usage, now);
        if (usage.hasRequests())
            reply.remoteUsages.push_back(std::move(remote));
    }
    return reply.remoteUsages.empty() ? std::nullopt : std::optional(std::move(reply));
}

void QuotaNode::receive(const InstanceName& from, const RemoteQuotaUsageMessage& message, util::Time now)
{
    const auto kind = kindOf(message.kind);
    if (!kind)
        return;
    m_unansweredReports.erase(from);
    if (m_lostAggregators.erase(from) > 0)
        m_aggregatorChanges.push_back({ from, false });
    for (const auto& remote : message.remoteUsages)
        handleRemote(*kind, remote, now);
}

void QuotaNode::handleRemote(QuotaKind kind, const RemoteQuotaUsage& remote, util::Time now)
{
    stateOf(kind).quota.updateRemote(remote, now);
    if (kind == QuotaKind::Requests)
        decideWaiting(remote.name, true, now);
    else
        decidePendingRetries(remote, now);
}

void QuotaNode::updateUnresponsiveAggregators(util::Time now)
{
    std::erase_if(m_unansweredReports, [this, now](const auto& item) {
        if (now - item.second < reportTimeout)
            return false;
        m_unresponsiveAggregators[item.first] = now + unresponsivePeriod;
        m_aggregators.clear();
        m_lostAggregators.insert(item.first);
        m_aggregatorChanges.push_back({ item.first, true });
        return true;
    });
    const auto ended
        = std::erase_if(m_unresponsiveAggregators, [now](const auto& item) { return now >= item.second; });
    if (ended > 0)
        m_aggregators.clear();
}

void QuotaNode::sendReports(QuotaKind kind, const std::string& urgent, util::Time now)
{
    auto& quota = stateOf(kind).quota;
    std::map<InstanceName, QuotaReportMessage> reports;
    std::vector<RemoteQuotaUsage> aggregatedLocally;
    for (auto& usage : quota.takeReports(now, urgent)) {
        if (kind == QuotaKind::Retries)
            usage.waiting = m_pendingRetries.ask(usage.name);
        const auto aggregator = aggregatorOf(kind, usage.name);
        if (aggregator == m_settings.self) {
            aggregatedLocally.push_back(aggregate(kind, m_settings.self, usage, now));
        } else if (!aggregator.text.empty()) {
            reports[aggregator].usages.push_back(std::move(usage));
        }
    }
    for (auto& [aggregator, report] : reports) {
        report.kind = static_cast<int>(kind);
        const bool needsReply = std::any_of(report.usages.begin(), report.usages.end(),
            [](const QuotaUsage& usage) { return usage.hasRequests(); });
        if (needsReply)
            m_unansweredReports.try_emplace(aggregator, now);
        m_outgoing.push_back({ aggregator, std::move(report) });
    }
    for (const auto& remote : aggregatedLocally)
        handleRemote(kind, remote, now);
}

void QuotaNode::tick(util::Time now)
{
    updateUnresponsiveAggregators(now);
    expireWaiting(now);
    for (const auto& [service, retries] : m_pendingRetries.takeExpired(now))
        decideRetriesAlone(service, retries, now);
    sendReports(QuotaKind::Requests, {}, now);
    sendReports(QuotaKind::Retries, {}, now);
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + cleanupInterval;
    for (auto& [quota, aggregator] : m_states) {
        quota.removeIdle(now);
        aggregator.removeExpired(now);
    }
    std::erase_if(m_exhaustedUntil, [now](const auto& item) { return now >= item.second; });
    std::erase_if(m_allowances, [this, now](const auto& item) {
        return now - item.second.updatedAt() > m_settings.policy.retryWindow;
    });
}

} // namespace tarragonhaven
