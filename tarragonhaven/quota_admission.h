#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/configuration.h"
#include "tarragonhaven/datagram_socket.h"
#include "tarragonhaven/directory.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/quota_totals.h"
#include "tarragonhaven/window_quota.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tarragonhaven {

// Admission of nodes that discover their targets: organisations' limits over sliding windows, kept together
// with the other nodes by datagrams. It knows no idempotency keys. Belongs to the traffic thread.
class QuotaAdmission : public Admission {
public:
    struct Parts {
        boost::asio::io_context& io;
        DatagramSocket& socket;
        LogChannel& log;
        InstanceName self;
        QuotaOptions options;
    };

    explicit QuotaAdmission(Parts parts);

    void apply(ConfigurationPointer configuration, DirectoryPointer directory);
    void admit(const AdmissionRequest& request, OutcomeHandler<void> handler) override;
    void settle(const AdmissionRequest&, IdentityOutcome, int) override { }
    std::string issueIdentity(const OrganisationName&) override { return {}; }

    void receive(const Endpoint& source, const InstanceName& from, const QuotaReportMessage& message);
    void receive(const InstanceName& from, const QuotaElsewhereMessage& message);
    // Sends the reports that are due. Call it some times in a report interval.
    void tick();

private:
    // A request that waits for word on use elsewhere.
    struct Waiting {
        OrganisationName organisation;
        OutcomeHandler<void> handler;
        util::Time until {};
    };

    // The node that adds up an organisation's use; empty when there is none.
    [[nodiscard]] InstanceName keeperOf(const std::string& organisation);
    void noteSilence(util::Time now);
    void report(const std::set<OrganisationName>& urgent);
    void settleWaiting(const std::string& organisation);
    void expireWaiting(util::Time now);
    void conclude(const QuotaDecision& decision, const OutcomeHandler<void>& handler);

    Parts m_parts;
    ConfigurationPointer m_configuration;
    DirectoryPointer m_directory;
    std::vector<std::string> m_nodes;
    WindowQuota m_quota;
    QuotaTotals m_totals;
    std::vector<Waiting> m_waiting;
    std::map<std::string, InstanceName> m_keepers;
    // Reports without an answer yet, by keeper, and keepers that did not answer, until when they are avoided.
    std::map<InstanceName, util::Time> m_unanswered;
    std::map<InstanceName, util::Time> m_silent;
    util::Time m_nextForget {};
};

} // namespace tarragonhaven
