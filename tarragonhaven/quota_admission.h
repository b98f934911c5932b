#pragma once

#include "tarragonhaven/admission.h"
#include "tarragonhaven/configuration.h"
#include "tarragonhaven/datagram_socket.h"
#include "tarragonhaven/directory.h"
#include "tarragonhaven/fleet_policy.h"
#include "tarragonhaven/limits/quota_node.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/retry_limiter.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <string>

namespace tarragonhaven {

// Admission control for nodes that discover their targets. Enforces the limits of organisations and the retry
// limits of services over sliding windows; the nodes exchange their usage in datagrams to enforce them
// together (QuotaNode). Refuses with RateExceeded when an organisation is over its limit. Does not check
// idempotency keys. Used on the traffic thread.
class QuotaAdmission : public Admission, public RetryLimiter {
public:
    struct Dependencies {
        boost::asio::io_context& io;
        DatagramSocket& socket;
        LogChannel& log;
        InstanceName self;
        FleetPolicy policy;
    };

    explicit QuotaAdmission(Dependencies dependencies);

    void apply(ConfigurationPointer configuration, DirectoryPointer directory);
    void admit(const AdmissionRequest& request, OutcomeHandler<void> handler) override;
    void recordOutcome(const AdmissionRequest&, IdempotencyOutcome, int) override { }
    std::string issueIdempotencyKey(const OrganisationName&) override { return {}; }
    void recordFirstAttempt(const ServiceName& service) override;
    void recordNestedRepeat(const ServiceName& service) override;
    void acquireRetry(const ServiceName& service, int rank, Handler handler) override;
    bool tryAcquireRetry(const ServiceName& service) override;
    bool tryAcquireHedge(const ServiceName& service) override;
    void returnRetry(const ServiceName& service) override;

    // Handle datagrams from other nodes. Messages of an unknown QuotaKind are ignored.
    void receive(const Endpoint& source, const InstanceName& from, const QuotaReportMessage& message);
    void receive(const InstanceName& from, const RemoteQuotaUsageMessage& message);
    void receive(const Endpoint& source, const QuotaQueryMessage& message);

    [[nodiscard]] const std::map<std::string, QuotaNode::RetryCounts>& retryCounts() const
    {
        return m_quotas.retryCounts();
    }
    // The number of nodes that limits are divided among, of aggregators that do not answer reports, and of
    // requests that wait for remote usage.
    [[nodiscard]] double nodes() const { return static_cast<double>(m_quotas.members()); }
    [[nodiscard]] double unresponsiveAggregators() const
    {
        return static_cast<double>(m_quotas.unresponsiveAggregators());
    }
    [[nodiscard]] double waitingRequests() const { return static_cast<double>(m_quotas.waitingRequests()); }

    // Sends the reports that are due, and decides requests that have waited too long for remote usage. Call
    // this several times per QuotaOptions::busyReportInterval.
    void tick();
    // Drops the requests that wait for a decision, without one. Must be called before the objects that their
    // handlers refer to are destroyed.
    void abandonWaiting() { m_quotas.abandonWaiting(); }

private:
    [[nodiscard]] std::optional<double> limitOf(const std::string& organisation) const;
    // Sends the messages and logs the events that the last call has caused.
    void flush();
    void complete(const QuotaDecision& decision, const OutcomeHandler<void>& handler);

    Dependencies m_dependencies;
    ConfigurationPointer m_configuration;
    DirectoryPointer m_directory;
    QuotaNode m_quotas;
};

} // namespace tarragonhaven
