#include "tarragonhaven/evacuation/evacuation_tracker.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // The time in which a change of the store is known to a node and applied at all guards.
    constexpr util::Duration applicationTime = std::chrono::milliseconds(2500);

} // namespace

EvacuationOptions evacuationOptions(util::Duration bound)
{
    EvacuationOptions options;
    options.returnedDelay
        = std::clamp<util::Duration>(bound - applicationTime, util::Duration {}, options.returnedDelay);
    return options;
}

void EvacuationTracker::withdraw(Entry& entry, util::Time now)
{
    if (entry.inForce)
        entry.withdrawnAt = now;
    entry.inForce = false;
    entry.changesAt.reset();
}

void EvacuationTracker::onChange(const EvacuationChange& change, util::Time now)
{
    const auto found = m_entries.find(change.dataCentre);
    if (found == m_entries.end() && !change.evacuated)
        return;
    if (found != m_entries.end() && found->second.revision >= change.revision)
        return;
    auto& entry = m_entries[change.dataCentre];
    entry.revision = change.revision;
    if (!change.evacuated)
        return withdraw(entry, now);
    entry.inForce = true;
    entry.changesAt.reset();
}

bool EvacuationTracker::isReturned(const Entry& entry, util::Time now) const
{
    return m_epochBeganAt && now < *m_epochBeganAt + m_options.returnedDelay && !entry.inForce
        && entry.withdrawnAt <= *m_epochBeganAt;
}

void EvacuationTracker::onListing(const std::vector<EvacuationChange>& listed, Revision asOf, util::Time now)
{
    std::set<DataCentreName> names;
    for (const auto& change : listed) {
        names.insert(change.dataCentre);
        const auto found = m_entries.find(change.dataCentre);
        if (found != m_entries.end() && isReturned(found->second, now)) {
            found->second.revision = change.revision;
            found->second.changesAt = *m_epochBeganAt + m_options.returnedDelay;
        } else {
            onChange(change, now);
        }
    }
    const bool restored = m_epochBeganAt && now < *m_epochBeganAt + m_options.missingDelay;
    for (auto& [name, entry] : m_entries) {
        if (names.contains(name) || entry.revision > asOf)
            continue;
        if (restored && entry.inForce)
            entry.changesAt = *m_epochBeganAt + m_options.missingDelay;
        else
            withdraw(entry, now);
    }
}

void EvacuationTracker::beginEpoch(util::Time now)
{
    for (auto& [name, entry] : m_entries)
        entry.revision = 0;
    m_epochBeganAt = now;
}

void EvacuationTracker::advance(util::Time now)
{
    for (auto& [name, entry] : m_entries) {
        if (!entry.changesAt || now < *entry.changesAt)
            continue;
        if (entry.inForce)
            withdraw(entry, now);
        else
            entry.inForce = true;
        entry.changesAt.reset();
    }
    std::erase_if(m_entries, [this, now](const auto& item) {
        const auto& entry = item.second;
        return !entry.inForce && !entry.changesAt && now - entry.withdrawnAt > m_options.withdrawnRetention;
    });
}

bool EvacuationTracker::hasPendingChanges() const
{
    return std::any_of(
        m_entries.begin(), m_entries.end(), [](const auto& item) { return item.second.changesAt; });
}

std::set<DataCentreName> EvacuationTracker::inForce() const
{
    std::set<DataCentreName> result;
    for (const auto& [name, entry] : m_entries) {
        if (entry.inForce)
            result.insert(name);
    }
    return result;
}

} // namespace tarragonhaven
