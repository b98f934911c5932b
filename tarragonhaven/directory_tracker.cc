#include "tarragonhaven/directory_tracker.h"

#include <algorithm>
#include <set>
#include <tuple>

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
    const bool sameState = known && entry.record.target == record.target
        && entry.record.service == record.service && !entry.removeAt;
    m_changed = m_changed || !sameState;
    entry.record = record;
    entry.slowStartUntil
        = record.slowStartRemaining > util::Duration {} ? now + record.slowStartRemaining : util::Time {};
    entry.removeAt.reset();
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
    m_entries.erase(found);
    m_changed = true;
}

void DirectoryTracker::onListing(const std::vector<TargetRecord>& records, Revision asOf, util::Time now)
{
    std::set<TargetName> listed;
    for (const auto& record : records) {
        listed.insert(record.target.name);
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
    onSourceLost(now);
}

void DirectoryTracker::advance(util::Time now)
{
    const auto removed = std::erase_if(m_entries, [now](const auto& item) {
        const auto& removeAt = item.second.removeAt;
        return removeAt && now >= *removeAt;
    });
    m_changed = m_changed || removed > 0;
}

bool DirectoryTracker::hasPendingRemovals() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [](const auto& item) { return item.second.removeAt.has_value(); });
}

DirectoryPointer DirectoryTracker::takeIfChanged(Revision asOf)
{
    if (!m_changed)
        return nullptr;
    m_changed = false;
    std::map<Endpoint, const Entry*> newestAtAddress;
    for (const auto& [name, entry] : m_entries) {
        auto& newest = newestAtAddress[entry.record.target.address];
        const auto order = [](const Entry& candidate) {
            return std::make_tuple(candidate.record.target.startTimeMs, candidate.record.revision);
        };
        if (!newest || order(*newest) < order(entry))
            newest = &entry;
    }
    Directory::TargetsByService targets;
    for (const auto& [name, entry] : m_entries) {
        auto target = entry.record.target;
        target.slowStartUntil = entry.slowStartUntil;
        target.leaving = target.leaving || newestAtAddress[target.address] != &entry;
        targets[entry.record.service].push_back(std::move(target));
    }
    return std::make_shared<const Directory>(std::move(targets), m_options.peerPort, asOf);
}

} // namespace tarragonhaven
