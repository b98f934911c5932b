#include "tarragonhaven/memory/memory_account.h"

#include <algorithm>

namespace tarragonhaven {

namespace {

    // The lower ends of the levels as shares of the bound. The part between Close and the bound is left for
    // what connections read before they are closed.
    constexpr double backpressureShare = 0.5;
    constexpr double refuseShare = 0.7;
    constexpr double closeShare = 0.85;

    double shareOf(MemoryPressure level)
    {
        switch (level) {
        case MemoryPressure::None:
            return 0;
        case MemoryPressure::Backpressure:
            return backpressureShare;
        case MemoryPressure::Refuse:
            return refuseShare;
        case MemoryPressure::Close:
            return closeShare;
        }
        return 0;
    }

} // namespace

MemoryAccount::Share& MemoryAccount::acquire(const OrganisationName& organisation)
{
    auto& share = m_shares.try_emplace(organisation, Share { organisation }).first->second;
    ++share.connections;
    return share;
}

void MemoryAccount::release(Share& share)
{
    if (--share.connections == 0)
        m_shares.erase(OrganisationName(share.organisation));
}

void MemoryAccount::add(Share& share, std::size_t bytes)
{
    share.heldBytes += bytes;
    m_heldBytes += bytes;
    m_peakBytes = std::max(m_peakBytes, m_heldBytes);
}

void MemoryAccount::remove(Share& share, std::size_t bytes)
{
    share.heldBytes -= bytes;
    m_heldBytes -= bytes;
}

std::size_t MemoryAccount::heldBytes(const OrganisationName& organisation) const
{
    const auto found = m_shares.find(organisation);
    return found == m_shares.end() ? 0 : found->second.heldBytes;
}

std::size_t MemoryAccount::threshold(MemoryPressure level) const
{
    return static_cast<std::size_t>(static_cast<double>(m_boundBytes) * shareOf(level));
}

std::size_t MemoryAccount::excessBytes(MemoryPressure level) const
{
    return m_heldBytes - std::min(m_heldBytes, threshold(level));
}

MemoryPressure MemoryAccount::pressure() const
{
    for (const auto level : { MemoryPressure::Close, MemoryPressure::Refuse, MemoryPressure::Backpressure }) {
        if (m_heldBytes >= threshold(level))
            return level;
    }
    return MemoryPressure::None;
}

} // namespace tarragonhaven
