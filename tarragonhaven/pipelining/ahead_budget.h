#pragma once

#include "tarragonhaven/memory/memory_account.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/pipelining/pipeline_limits.h"

#include <cstddef>
#include <map>

namespace tarragonhaven {

// Counts the requests of a node that were started ahead of their turn, in all and by organisation, and the
// memory that is reserved for their responses, so that callers that send many requests ahead leave room for
// the others. A request that is denied starts at its turn. Not thread-safe.
class AheadBudget {
public:
    // Nothing is started ahead while `memory` is near its bound. It may be null, and must outlive the budget.
    explicit AheadBudget(const PipelineLimits& limits, const MemoryAccount* memory = nullptr)
        : m_limits(limits)
        , m_memory(memory)
    {
    }
    AheadBudget(const AheadBudget&) = delete;
    AheadBudget& operator=(const AheadBudget&) = delete;

    // Counts one more request, unless a limit is reached. Returns whether it was counted.
    [[nodiscard]] bool tryAcquire(const OrganisationName& organisation, std::size_t responseBytes)
    {
        if (m_memory && m_memory->pressure() >= MemoryPressure::Backpressure)
            return false;
        const auto found = m_byOrganisation.find(organisation);
        const auto used = found == m_byOrganisation.end() ? 0 : found->second;
        if (m_inUse >= m_limits.aheadRequests || used >= m_limits.aheadRequestsPerOrganisation
            || m_reservedBytes + responseBytes > m_limits.aheadBytes)
            return false;
        ++m_byOrganisation[organisation];
        ++m_inUse;
        m_reservedBytes += responseBytes;
        return true;
    }
    // Ends the count of a request for which tryAcquire() returned true.
    void release(const OrganisationName& organisation, std::size_t responseBytes)
    {
        const auto found = m_byOrganisation.find(organisation);
        if (found == m_byOrganisation.end())
            return;
        --m_inUse;
        m_reservedBytes -= responseBytes;
        if (--found->second == 0)
            m_byOrganisation.erase(found);
    }

    [[nodiscard]] std::size_t inUse() const { return m_inUse; }

private:
    PipelineLimits m_limits;
    const MemoryAccount* m_memory;
    std::size_t m_inUse = 0;
    std::size_t m_reservedBytes = 0;
    std::map<OrganisationName, std::size_t> m_byOrganisation;
};

} // namespace tarragonhaven
