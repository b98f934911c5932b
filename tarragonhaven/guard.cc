#include "tarragonhaven/guard.h"

#include "tarragonhaven/evacuation/cold_probe.h"

#include <algorithm>
#include <utility>

namespace tarragonhaven {

namespace {

    // How long the state of a target is kept that the directory no longer lists.
    constexpr util::Duration unlistedRetention = std::chrono::minutes(10);

    bool isBusy(const std::weak_ptr<GuardedTarget>& target)
    {
        const auto locked = target.lock();
        return locked && locked->busy();
    }

} // namespace

Guard::Guard(boost::asio::io_context& io, InstanceName self, std::uint64_t incarnation, GuardOptions options)
    : m_io(io)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_containment(io)
    , m_options(std::move(options))
{
    m_options.onConnectionLost = [this](const std::shared_ptr<GuardedTarget>& target,
                                     RequestFingerprint fingerprint) {
        const auto& record = target->target();
        const auto hasOpenConnection = [weak = std::weak_ptr(target)] {
            const auto locked = weak.lock();
            return locked && locked->hasOpenConnection();
        };
        m_containment.recordConnectionLost({ record.name, record.address, hasOpenConnection }, fingerprint);
    };
    m_options.onAnswered
        = [this](RequestFingerprint fingerprint) { m_containment.recordAnswer(fingerprint); };
}

std::shared_ptr<GuardedTarget> Guard::takeKnown(
    const Target& target, std::map<TargetName, std::shared_ptr<GuardedTarget>>& previous)
{
    const auto isSame = [&target](const std::shared_ptr<GuardedTarget>& guarded) {
        return guarded->target().startTimeMs == target.startTimeMs;
    };
    const auto listed = previous.find(target.name);
    if (listed != previous.end())
        return isSame(listed->second) ? previous.extract(listed).mapped() : nullptr;
    const auto unlisted = m_unlisted.extract(target.name);
    return !unlisted.empty() && isSame(unlisted.mapped().guarded) ? unlisted.mapped().guarded : nullptr;
}

void Guard::apply(const Directory& directory)
{
    const auto now = util::BootClock::now();
    m_directoryAsOf = directory.asOf();
    std::erase_if(
        m_peerEvacuations, [this](const auto& item) { return item.second.asOf <= m_directoryAsOf; });
    m_dataCentres.clear();
    for (const auto& [name, instance] : directory.instances())
        m_dataCentres.emplace(name, instance.dataCentre);
    std::erase_if(
        m_unlisted, [now](const auto& item) { return now - item.second.since > unlistedRetention; });
    auto previous = std::exchange(m_targets, {});
    for (const auto& [service, targets] : directory.targets()) {
        for (const auto& target : targets) {
            if (target.instance != m_self)
                continue;
            auto guarded = takeKnown(target, previous);
            if (guarded)
                guarded->update(target, m_directoryAsOf);
            else
                guarded = std::make_shared<GuardedTarget>(m_io, target, m_incarnation, m_options);
            updateEvacuation(*guarded);
            const auto policy = m_coldStart.find(service);
            guarded->setColdStart(policy == m_coldStart.end() ? ColdStartPolicy {} : policy->second);
            m_targets.emplace(target.name, std::move(guarded));
        }
    }
    std::erase_if(m_finishing, [](const auto& target) { return !isBusy(target); });
    for (const auto& [name, removed] : previous) {
        removed->retire();
        if (removed->busy())
            m_finishing.push_back(removed);
        if (!m_targets.contains(name))
            m_unlisted[name] = { removed, now };
    }
    if (m_draining)
        drain();
}

void Guard::recordPeerState(const TargetStateMessage& message)
{
    const auto target = find({ message.target });
    if (target && target->target().startTimeMs == message.startTimeMs && message.asOf > m_directoryAsOf)
        target->recordPeerState({ message.serving, message.asOf });
}

void Guard::updateEvacuation(GuardedTarget& target) const
{
    const auto found = m_peerEvacuations.find(target.target().dataCentre);
    if (found != m_peerEvacuations.end())
        target.setEvacuated(found->second.evacuated, found->second.asOf);
    else
        target.setEvacuated(target.target().evacuated, m_directoryAsOf);
}

bool Guard::recordPeerEvacuation(const EvacuationMessage& message)
{
    if (message.asOf <= m_directoryAsOf)
        return false;
    const auto known = m_peerEvacuations.find({ message.dataCentre });
    if (known != m_peerEvacuations.end() && known->second.asOf > message.asOf)
        return false;
    bool changed = false;
    for (const auto& [name, target] : m_targets) {
        if (target->target().dataCentre.text != message.dataCentre)
            continue;
        m_peerEvacuations[{ message.dataCentre }] = { message.evacuated, message.asOf };
        changed = changed || target->isEvacuated() != message.evacuated;
        updateEvacuation(*target);
    }
    return changed;
}

std::shared_ptr<GuardedTarget> Guard::find(const TargetName& name) const
{
    const auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : found->second;
}

std::vector<Guard::ReportNotification> Guard::tick()
{
    const auto dataCentreOf = [this](const InstanceName& instance) {
        const auto found = m_dataCentres.find(instance);
        return found == m_dataCentres.end() ? DataCentreName {} : found->second;
    };
    m_containment.tick();
    std::vector<ReportNotification> notifications;
    for (const auto& [name, target] : m_targets) {
        target->tick();
        if (target->takeColdProbe())
            probe(target);
        auto entries = target->entriesToNotify(dataCentreOf);
        if (!entries.empty())
            notifications.push_back({ name, target->report(), std::move(entries) });
    }
    return notifications;
}

std::vector<Guard::BreakerChange> Guard::takeBreakerChanges()
{
    std::vector<BreakerChange> changes;
    for (const auto& [name, target] : m_targets) {
        const auto state = target->takeBreakerChange();
        if (!state)
            continue;
        const auto report = target->report();
        changes.push_back({ name, *state, report.successes, report.failures });
    }
    return changes;
}

void Guard::probe(const std::shared_ptr<GuardedTarget>& target)
{
    probeCold(m_io, target->target().address, target->healthPath(), m_options.headerNames.coldRemaining,
        [weak = std::weak_ptr(target)](std::optional<util::Duration> remaining) {
            if (const auto locked = weak.lock())
                locked->recordColdProbe(remaining);
        });
}

std::vector<Guard::TargetColdChange> Guard::takeColdChanges()
{
    std::vector<TargetColdChange> changes;
    for (const auto& [name, target] : m_targets) {
        if (const auto change = target->takeColdChange())
            changes.push_back({ name, *change, target->coldPace().value_or(0) });
    }
    return changes;
}

bool Guard::takeNestedRepeat()
{
    double running = 0;
    for (const auto& [name, target] : m_targets)
        running = std::max(running, target->repeatShare());
    m_nestedRepeats += running;
    if (m_nestedRepeats < 1)
        return false;
    m_nestedRepeats -= 1;
    return true;
}

bool Guard::busy() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto& item) {
        return item.second->busy();
    }) || std::any_of(m_finishing.begin(), m_finishing.end(), isBusy);
}

void Guard::drain()
{
    m_draining = true;
    for (const auto& [name, target] : m_targets)
        target->drain();
}

} // namespace tarragonhaven
