#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/configuration.h"
#include "tarragonhaven/datagram_socket.h"
#include "tarragonhaven/directory.h"
#include "tarragonhaven/fleet_policy.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/quota_totals.h"
#include "tarragonhaven/retry_gate.h"
#include "tarragonhaven/window_quota.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tarragonhaven {

// Admission of nodes that discover their targets: organisations' limits and services' bounds on retries over
// sliding windows, kept together with the other nodes by datagrams. It knows no idempotency keys. Belongs to
// the traffic thread.
class QuotaAdmission : public Admission, public RetryGate {
public:
    struct Parts {
        boost::asio::io_context& io;
        DatagramSocket& socket;
        LogChannel& log;
        InstanceName self;
        FleetPolicy policy;
    };

    explicit QuotaAdmission(Parts parts);

    void apply(ConfigurationPointer configuration, DirectoryPointer directory);
    void admit(const AdmissionRequest& request, OutcomeHandler<void> handler) override;
    void settle(const AdmissionRequest&, IdentityOutcome, int) override { }
    std::string issueIdentity(const OrganisationName&) override { return {}; }
    void noteFirstTry(const ServiceName& service) override;
    bool takeRetry(const ServiceName& service) override;

    void receive(const Endpoint& source, const InstanceName& from, const QuotaReportMessage& message);
    void receive(const InstanceName& from, const RemoteQuotaUsageMessage& message);
    void receive(const Endpoint& source, const QuotaQueryMessage& message);
    // Retries of a service that were asked for here, and what the bound left at the latest question.
    struct RetryCounts {
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
        double left = 0;
    };
    [[nodiscard]] const std::map<ServiceName, RetryCounts>& retryCounts() const { return m_retryCounts; }
    // Nodes that limits are divided among, nodes that do not answer counts, and requests that wait for word.
    [[nodiscard]] double nodes() const { return static_cast<double>(m_nodes.size()); }
    [[nodiscard]] double silentKeepers() const { return static_cast<double>(m_silent.size()); }
    [[nodiscard]] double waiting() const { return static_cast<double>(m_waiting.size()); }

    // Sends the reports that are due. Call it some times in a report interval.
    void tick();

private:
    // The counts of one kind: those of this node, and those that it adds up for others.
    struct Ledger {
        WindowQuota quota;
        QuotaTotals totals;
    };
    // A request that waits for word on use elsewhere.
    struct Waiting {
        OrganisationName organisation;
        OutcomeHandler<void> handler;
        util::Time until {};
    };

    // Takes in a node's use and returns that of all others, with what is left to nodes that are cut off.
    QuotaElsewhere addUp(QuotaKind kind, const InstanceName& node, const QuotaUse& use);
    static Ledger makeLedger(const QuotaOptions& options);
    Ledger& ledger(QuotaKind kind) { return m_ledgers.at(static_cast<std::size_t>(kind)); }
    [[nodiscard]] double limitOf(const Organisation& organisation) const;
    QuotaDecision decide(const Organisation& organisation, bool final);
    // The node that adds up what is admitted under a name; empty when there is none.
    [[nodiscard]] InstanceName keeperOf(QuotaKind kind, const std::string& name);
    void noteSilence(util::Time now);
    void report(QuotaKind kind, const std::string& urgent);
    void settleWaiting(const std::string& organisation, bool final);
    void expireWaiting(util::Time now);
    void conclude(const QuotaDecision& decision, const OutcomeHandler<void>& handler);

    Parts m_parts;
    ConfigurationPointer m_configuration;
    DirectoryPointer m_directory;
    std::vector<std::string> m_nodes;
    std::array<Ledger, 2> m_ledgers;
    std::vector<Waiting> m_waiting;
    std::map<std::pair<QuotaKind, std::string>, InstanceName> m_keepers;
    // Reports without an answer yet, by keeper, and keepers that did not answer, until when they are avoided.
    std::map<InstanceName, util::Time> m_unanswered;
    std::map<InstanceName, util::Time> m_silent;
    // Those that were lost and have not answered since.
    std::set<InstanceName> m_lost;
    std::map<ServiceName, RetryCounts> m_retryCounts;
    util::Time m_nextForget {};
};

} // namespace tarragonhaven
