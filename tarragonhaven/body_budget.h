#pragma once

#include <algorithm>
#include <cstddef>

namespace tarragonhaven {

// Counts the memory that a process, or a part of it, holds for bodies that are kept, and limits it. What has
// been read must be kept, so a request may exceed the limit by the part of a body that it has just read; it
// asks before it reads more. Not thread-safe.
class BodyBudget {
public:
    // What a budget counts counts for its parent as well, which must outlive it.
    explicit BodyBudget(std::size_t limitBytes, BodyBudget* parent = nullptr)
        : m_limitBytes(limitBytes)
        , m_parent(parent)
    {
    }
    BodyBudget(const BodyBudget&) = delete;
    BodyBudget& operator=(const BodyBudget&) = delete;

    void add(std::size_t bytes)
    {
        m_heldBytes += bytes;
        if (m_parent)
            m_parent->add(bytes);
    }
    void remove(std::size_t bytes)
    {
        m_heldBytes -= std::min(bytes, m_heldBytes);
        if (m_parent)
            m_parent->remove(bytes);
    }

    // Returns whether `bytes` more may be held.
    [[nodiscard]] bool allows(std::size_t bytes) const
    {
        return m_heldBytes <= m_limitBytes && bytes <= m_limitBytes - m_heldBytes
            && (!m_parent || m_parent->allows(bytes));
    }
    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }

private:
    std::size_t m_limitBytes;
    BodyBudget* m_parent;
    std::size_t m_heldBytes = 0;
};

} // namespace tarragonhaven
