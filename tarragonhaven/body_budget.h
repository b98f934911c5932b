#pragma once

#include "tarragonhaven/memory/connection_memory.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace tarragonhaven {

// Counts the memory that a process, or a part of it, holds for bodies that are kept, and limits it. What has
// been read must be kept, so a request may exceed the limit by the part of a body that it has just read; it
// asks before it reads more. Not thread-safe.
class BodyBudget {
public:
    // What a budget counts counts for its parent as well, which must outlive it, and for the account that
    // `memory` is a part of.
    explicit BodyBudget(std::size_t limitBytes, BodyBudget* parent = nullptr,
        std::shared_ptr<ConnectionMemory> memory = nullptr)
        : m_limitBytes(limitBytes)
        , m_parent(parent)
        , m_memory(std::move(memory))
    {
    }
    BodyBudget(const BodyBudget&) = delete;
    BodyBudget& operator=(const BodyBudget&) = delete;

    void add(std::size_t bytes)
    {
        m_heldBytes += bytes;
        if (m_parent)
            m_parent->add(bytes);
        if (m_memory)
            m_memory->add(bytes);
    }
    void remove(std::size_t bytes)
    {
        m_heldBytes -= std::min(bytes, m_heldBytes);
        if (m_parent)
            m_parent->remove(bytes);
        if (m_memory)
            m_memory->remove(bytes);
    }

    // Returns whether `bytes` more may be held, which is not so while the account is near its bound.
    [[nodiscard]] bool allows(std::size_t bytes) const
    {
        if (m_memory && m_memory->pressure() >= MemoryPressure::Backpressure)
            return false;
        return m_heldBytes <= m_limitBytes && bytes <= m_limitBytes - m_heldBytes
            && (!m_parent || m_parent->allows(bytes));
    }
    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }

private:
    std::size_t m_limitBytes;
    BodyBudget* m_parent;
    std::shared_ptr<ConnectionMemory> m_memory;
    std::size_t m_heldBytes = 0;
};

} // namespace tarragonhaven
