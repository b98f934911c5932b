// The newest accepted revision is in force. Only the number of a refused revision is kept: revisions up to it
// are not fetched again, while a later revision may be valid.

#include "tarragonhaven/configuration_holder.h"

#include "util/check.h"

#include <algorithm>

namespace tarragonhaven {

OfferResult ConfigurationHolder::offer(ConfigurationPointer configuration)
{
    const auto before = revision();
    if (configuration->revision() <= before)
        return OfferResult::NotNewer;
    m_current = std::move(configuration);
    TARRAGONHAVEN_CHECK(revision() > before, "the revision in force must increase");
    return OfferResult::Accepted;
}

void ConfigurationHolder::recordRefused(Revision revision)
{
    m_newestRefused = std::max(m_newestRefused, revision);
}

bool ConfigurationHolder::shouldFetch(Revision revision) const
{
    return revision > this->revision() && revision > m_newestRefused;
}

Revision ConfigurationHolder::revision() const { return m_current ? m_current->revision() : 0; }

} // namespace tarragonhaven
