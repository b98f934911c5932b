#pragma once

#include "tarragonhaven/memory/memory_account.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace tarragonhaven {

// The part of one connection in a MemoryAccount. It counts for the organisation of the latest request, and
// for the empty name before the first one was accepted. Not thread-safe.
class ConnectionMemory {
public:
    explicit ConnectionMemory(std::shared_ptr<MemoryAccount> account)
        : m_account(std::move(account))
        , m_share(&m_account->acquire({}))
    {
    }
    ~ConnectionMemory()
    {
        remove(m_heldBytes);
        m_account->release(*m_share);
    }
    ConnectionMemory(const ConnectionMemory&) = delete;
    ConnectionMemory& operator=(const ConnectionMemory&) = delete;

    void add(std::size_t bytes)
    {
        m_heldBytes += bytes;
        m_account->add(*m_share, bytes);
    }
    void remove(std::size_t bytes)
    {
        const auto removed = std::min(bytes, m_heldBytes);
        m_heldBytes -= removed;
        m_account->remove(*m_share, removed);
    }
    // Moves all that is held to the share of an organisation.
    void assign(const OrganisationName& organisation)
    {
        if (organisation == m_share->organisation)
            return;
        m_account->remove(*m_share, m_heldBytes);
        m_account->release(*m_share);
        m_share = &m_account->acquire(organisation);
        m_account->add(*m_share, m_heldBytes);
    }

    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }
    [[nodiscard]] std::size_t organisationBytes() const { return m_share->heldBytes; }
    [[nodiscard]] MemoryPressure pressure() const { return m_account->pressure(); }

private:
    std::shared_ptr<MemoryAccount> m_account;
    MemoryAccount::Share* m_share;
    std::size_t m_heldBytes = 0;
};

} // namespace tarragonhaven
