#pragma once

#include "tarragonhaven/memory/memory_pressure.h"
#include "tarragonhaven/names.h"

#include <cstddef>
#include <map>

namespace tarragonhaven {

// Counts the memory that a process holds for its callers, in all and by organisation, against a bound. It
// only counts: what is counted is held already, and the owners of the memory react to pressure(). Connections
// count through a ConnectionMemory. Not thread-safe.
class MemoryAccount {
public:
    // The part of one organisation.
    struct Share {
        OrganisationName organisation;
        std::size_t heldBytes = 0;
        std::size_t connections = 0;
    };

    explicit MemoryAccount(std::size_t boundBytes)
        : m_boundBytes(boundBytes)
    {
    }
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    // Adds a connection to the share of an organisation. The share is valid until release().
    Share& acquire(const OrganisationName& organisation);
    void release(Share& share);
    void add(Share& share, std::size_t bytes);
    void remove(Share& share, std::size_t bytes);

    [[nodiscard]] std::size_t boundBytes() const { return m_boundBytes; }
    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }
    // Returns the largest amount that was held at any time.
    [[nodiscard]] std::size_t peakBytes() const { return m_peakBytes; }
    [[nodiscard]] std::size_t heldBytes(const OrganisationName& organisation) const;
    [[nodiscard]] MemoryPressure pressure() const;
    // Returns by how much the amount held is above the lower end of a level; 0 if it is not.
    [[nodiscard]] std::size_t excessBytes(MemoryPressure level) const;

private:
    [[nodiscard]] std::size_t threshold(MemoryPressure level) const;

    std::size_t m_boundBytes;
    std::size_t m_heldBytes = 0;
    std::size_t m_peakBytes = 0;
    std::map<OrganisationName, Share> m_shares;
};

} // namespace tarragonhaven
