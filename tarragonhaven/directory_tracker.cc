#include "tarragonhaven/directory_tracker.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace tarragonhaven {

namespace {

    std::tuple<std::int64_t, std::uint64_t> generationOf(const TargetRecord& record)
    {
        return { record.target.startTimeMs, record.sequence };
    }

} // namespace

bool DirectoryTracker::inOutageGrace(util::Time now) const
{
    return m_sourceLostAt && now - *m_sourceLostAt < m_options.outageGrace;
}

void DirectoryTracker::setDeclaredServices(std::set<ServiceName> services)
{
    if (m_declaredServices == services)
        return;
    m_declaredServices = std::move(services);
    m_changed = true;
}

void DirectoryTracker::setEvacuated(std::set<DataCentreName> dataCentres)
{
    m_changed = m_changed || m_evacuated != dataCentres;
    m_evacuated = std::move(dataCentres);
}

bool DirectoryTracker::isDeclared(const ServiceName& service) const
{
    return !m_declaredServices || m_declaredServices->contains(service);
}

void DirectoryTracker::onRecord(const TargetRecord& record, util::Time now)
{
    auto& entry = m_entries[record.target.name];
    const bool known = !entry.record.target.name.text.empty();
    if (known && entry.record.revision >= record.revision)
        return;
    if (known && generationOf(record) < generationOf(entry.record)) {
        // The record arrived in the store late and describes an earlier start or state of the target. Only
        // its revision is kept, so that records and removals up to this revision are ignored.
        entry.record.revision = record.revision;
        return;
    }
    // A record that is listed again says nothing new of how long its target remains cold.
    const bool sameRecord = known && generationOf(record) == generationOf(entry.record);
    const auto slowStartUntil = sameRecord              ? entry.slowStartUntil
        : record.slowStartRemaining > util::Duration {} ? now + record.slowStartRemaining
                                                        : util::Time {};
    const bool slowStartChanged
        = slowStartUntil != entry.slowStartUntil && std::max(slowStartUntil, entry.slowStartUntil) > now;
    const bool sameState = known && entry.record.target == record.target
        && entry.record.service == record.service && !entry.removeAt && !entry.usedFrom;
    m_changed = m_changed || !sameState || slowStartChanged;
    entry.record = record;
    entry.slowStartUntil = slowStartUntil;
    entry.removeAt.reset();
    entry.usedFrom.reset();
}

void DirectoryTracker::onRemoved(const TargetName& name, Revision revision, util::Time now)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.record.revision >= revision)
        return;
    if (inOutageGrace(now)) {
        if (!found->second.removeAt)
            found->second.removeAt = *m_sourceLostAt + m_options.outageGrace;
        return;
    }
    m_removed[name] = { found->second.record.target.startTimeMs, now };
    m_entries.erase(found);
    m_changed = true;
}

bool DirectoryTracker::isRestored(const TargetRecord& record, util::Time now) const
{
    const auto removed = m_removed.find(record.target.name);
    return m_epochBeganAt && now < *m_epochBeganAt + m_options.restoredRecordDelay
        && removed != m_removed.end() && removed->second.at <= *m_epochBeganAt
        && record.target.startTimeMs <= removed->second.startTimeMs
        && !m_entries.contains(record.target.name);
}

void DirectoryTracker::onListing(const std::vector<TargetRecord>& records, Revision asOf, util::Time now)
{
    std::set<TargetName> listed;
    for (const auto& record : records) {
        listed.insert(record.target.name);
        if (isRestored(record, now))
            m_entries[record.target.name]
                = { record, {}, std::nullopt, *m_epochBeganAt + m_options.restoredRecordDelay };
        else
            onRecord(record, now);
    }
    std::vector<TargetName> missing;
    for (const auto& [name, entry] : m_entries) {
        if (!listed.contains(name) && entry.record.revision <= asOf)
            missing.push_back(name);
    }
    for (const auto& name : missing)
        onRemoved(name, asOf + 1, now);
    m_changed = m_changed || !m_hasListing;
    m_hasListing = true;
}

void DirectoryTracker::beginEpoch(util::Time now)
{
    for (auto& [name, entry] : m_entries)
        entry.record.revision = 0;
    m_epochBeganAt = now;
    onSourceLost(now);
}

void DirectoryTracker::advance(util::Time now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        auto& [record, slowStartUntil, removeAt, usedFrom] = entry->second;
        const bool removed = removeAt && now >= *removeAt;
        const bool used = usedFrom && now >= *usedFrom;
        m_changed = m_changed || removed || used;
        if (used)
            usedFrom.reset();
        if (removed)
            m_removed[entry->first] = { record.target.startTimeMs, now };
        entry = removed ? m_entries.erase(entry) : std::next(entry);
    }
    std::erase_if(m_removed,
        [this, now](const auto& item) { return now - item.second.at > m_options.removedRetention; });
}

bool DirectoryTracker::hasPendingChanges() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [](const auto& item) { return item.second.removeAt || item.second.usedFrom; });
}

DirectoryPointer DirectoryTracker::takeIfChanged(StorePosition asOf)
{
    if (!m_changed)
        return nullptr;
    m_changed = false;
    std::map<Endpoint, const Entry*> newestAtAddress;
    for (const auto& [name, entry] : m_entries) {
        if (entry.usedFrom)
            continue;
        auto& newest = newestAtAddress[entry.record.target.address];
        const auto order = [this](const Entry& candidate) {
            return std::make_tuple(isDeclared(candidate.record.service), candidate.record.target.startTimeMs,
                candidate.record.revision);
        };
        if (!newest || order(*newest) < order(entry))
            newest = &entry;
    }
    Directory::TargetsByService targets;
    for (const auto& [name, entry] : m_entries) {
        if (entry.usedFrom)
            continue;
        auto target = entry.record.target;
        target.slowStartUntil = entry.slowStartUntil;
        target.leaving = target.leaving || newestAtAddress[target.address] != &entry;
        targets[entry.record.service].push_back(std::move(target));
    }
    return std::make_shared<const Directory>(std::move(targets), m_options.peerPort, asOf, m_evacuated);
}

} // namespace tarragonhaven
