#include "tarragonhaven/quota_admission.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <utility>

namespace tarragonhaven {

namespace {

    // The time after which callers of an organisation over its limit are told to try again: a tenth of the
    // default window.
    constexpr util::Duration retryAfter = std::chrono::milliseconds(500);
    constexpr double hedgeShareOfRetries = 0.5;

} // namespace

QuotaAdmission::QuotaAdmission(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_quotas({ m_dependencies.self, m_dependencies.policy, util::BootClock::now(),
          [this](const std::string& organisation) { return limitOf(organisation); } })
{
}

void QuotaAdmission::apply(ConfigurationPointer configuration, DirectoryPointer directory)
{
    m_configuration = std::move(configuration);
    if (directory == m_directory || !directory)
        return;
    m_directory = std::move(directory);
    std::vector<std::string> nodes;
    for (const auto& [name, instance] : m_directory->instances())
        nodes.push_back(name.text);
    m_quotas.setMembers(std::move(nodes));
}

std::optional<double> QuotaAdmission::limitOf(const std::string& name) const
{
    const auto* organisation = m_configuration ? m_configuration->organisation({ name }) : nullptr;
    if (!organisation || organisation->ratePerSecond <= 0)
        return std::nullopt;
    return organisation->ratePerSecond * util::toSeconds(m_dependencies.policy.quotaWindow)
        + organisation->burst;
}

void QuotaAdmission::flush()
{
    for (auto& [to, message] : m_quotas.takeOutgoing()) {
        const auto* instance = m_directory ? m_directory->instance(to) : nullptr;
        if (instance)
            m_dependencies.socket.send(instance->peerAddress, std::move(message));
    }
    for (const auto& [aggregator, lost] : m_quotas.takeAggregatorChanges()) {
        m_dependencies.log.write(lost ? LogLevel::Warning : LogLevel::Info, "dependency",
            { { "name", "quota-keeper" }, { "event", lost ? "lost" : "reached" },
                { "keeper", aggregator.text } });
    }
}

void QuotaAdmission::admit(const AdmissionRequest& request, OutcomeHandler<void> handler)
{
    const auto limit = limitOf(request.organisation.text);
    if (!limit)
        return handler({});
    m_quotas.admit(request.organisation.text, *limit, util::BootClock::now(),
        [this, handler = std::move(handler)](const QuotaDecision& decision) { complete(decision, handler); });
    flush();
}

void QuotaAdmission::complete(const QuotaDecision& decision, const OutcomeHandler<void>& handler)
{
    if (decision.admitted)
        return handler({});
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(decision.remoteAge).count();
    const auto detail = absl::StrCat(std::string(toString(decision.reason)), ", admitted by this node ",
        decision.local, ", by other nodes ", decision.remote, ", limit ", decision.limit,
        ", remote usage received ", age, " ms ago");
    boost::asio::post(m_dependencies.io, [handler, detail] {
        handler(
            tl::unexpected(Refusal { RefusalReason::RateExceeded, RunState::NotRun, retryAfter, detail }));
    });
}

void QuotaAdmission::recordFirstAttempt(const ServiceName& service)
{
    m_quotas.recordFirstAttempt(service.text, util::BootClock::now());
}

void QuotaAdmission::recordNestedRepeat(const ServiceName& service)
{
    m_quotas.recordNestedRepeat(service.text, util::BootClock::now());
}

void QuotaAdmission::acquireRetry(const ServiceName& service, int rank, Handler handler)
{
    m_quotas.acquireRetry(service.text, rank, util::BootClock::now(), std::move(handler));
    flush();
}

bool QuotaAdmission::tryAcquireRetry(const ServiceName& service)
{
    return m_quotas.tryAcquireRetry(service.text, 1, util::BootClock::now());
}

bool QuotaAdmission::tryAcquireHedge(const ServiceName& service)
{
    return m_quotas.tryAcquireRetry(service.text, hedgeShareOfRetries, util::BootClock::now());
}

void QuotaAdmission::returnRetry(const ServiceName& service)
{
    m_quotas.returnRetry(service.text, util::BootClock::now());
}

void QuotaAdmission::receive(const Endpoint& source, const QuotaQueryMessage& message)
{
    if (auto report = m_quotas.receive(message, util::BootClock::now()))
        m_dependencies.socket.send(source, std::move(*report));
}

void QuotaAdmission::receive(
    const Endpoint& source, const InstanceName& from, const QuotaReportMessage& message)
{
    if (auto reply = m_quotas.receive(from, message, util::BootClock::now()))
        m_dependencies.socket.send(source, std::move(*reply));
    flush();
}

void QuotaAdmission::receive(const InstanceName& from, const RemoteQuotaUsageMessage& message)
{
    m_quotas.receive(from, message, util::BootClock::now());
    flush();
}

void QuotaAdmission::tick()
{
    m_quotas.tick(util::BootClock::now());
    flush();
}

} // namespace tarragonhaven
