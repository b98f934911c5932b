#pragma once

#include "tarragonhaven/body_budget.h"
#include "tarragonhaven/message_head.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragonhaven {

// The maximum size in bytes of the body of a request that is kept to be sent again.
inline constexpr std::size_t replayBodyLimitBytes = 64 * 1024;

// A body, or a part of one, that is kept in memory in the order in which it arrived. The memory that it takes
// is counted in a BodyBudget, which must outlive the buffer.
class BodyBuffer {
public:
    explicit BodyBuffer(BodyBudget& budget)
        : m_budget(budget)
    {
    }
    ~BodyBuffer() { clear(); }
    BodyBuffer(const BodyBuffer&) = delete;
    BodyBuffer& operator=(const BodyBuffer&) = delete;

    // Small chunks are joined, so that the memory depends on the size of the body and not on the number of
    // its chunks.
    void append(BodyChunk chunk);
    // Removes the first piece and returns it. The buffer must not be empty.
    BodyChunk takeFront();
    // Moves the content of another buffer with the same budget into this one, in place of its own.
    void replaceWith(BodyBuffer& other);
    void clear();

    [[nodiscard]] bool empty() const { return m_front == m_pieces.size(); }
    // Returns whether the end of the body has been appended and not taken.
    [[nodiscard]] bool hasEnd() const { return !empty() && m_pieces.back().last; }
    // The pieces, of at most bodyChunkBytes bytes if no larger chunk was appended.
    [[nodiscard]] std::size_t pieceCount() const { return m_pieces.size() - m_front; }
    [[nodiscard]] const BodyChunk& piece(std::size_t index) const { return m_pieces[m_front + index]; }
    // Returns the first `maximumBytes` bytes of the content.
    [[nodiscard]] std::string prefix(std::size_t maximumBytes) const;
    // Returns the number of bytes of the content, and of the memory that holds it.
    [[nodiscard]] std::size_t bodyBytes() const { return m_bodyBytes; }
    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }

private:
    static std::size_t memoryOf(const BodyChunk& piece) { return sizeof(BodyChunk) + piece.data.capacity(); }
    void setHeldBytes(std::size_t bytes);

    BodyBudget& m_budget;
    // The pieces before the index `m_front` have been taken.
    std::vector<BodyChunk> m_pieces;
    std::size_t m_front = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_heldBytes = 0;
};

} // namespace tarragonhaven
