#include "tarragonhaven/body_buffer.h"

#include "util/check.h"

#include <algorithm>
#include <utility>

namespace tarragonhaven {

void BodyBuffer::setHeldBytes(std::size_t bytes)
{
    m_budget.remove(m_heldBytes);
    m_heldBytes = bytes;
    m_budget.add(m_heldBytes);
}

void BodyBuffer::append(BodyChunk chunk)
{
    m_bodyBytes += chunk.data.size();
    const bool joins = !empty() && m_pieces.back().data.size() + chunk.data.size() <= bodyChunkBytes;
    if (!joins) {
        m_pieces.push_back(std::move(chunk));
        return setHeldBytes(m_heldBytes + memoryOf(m_pieces.back()));
    }
    auto& back = m_pieces.back();
    const auto before = memoryOf(back);
    back.data += chunk.data;
    back.last = chunk.last;
    setHeldBytes(m_heldBytes - before + memoryOf(back));
}

BodyChunk BodyBuffer::takeFront()
{
    TARRAGONHAVEN_CHECK(!empty(), "a piece is taken from a buffer that has one");
    setHeldBytes(m_heldBytes - memoryOf(m_pieces[m_front]));
    auto chunk = std::move(m_pieces[m_front]);
    m_bodyBytes -= chunk.data.size();
    if (++m_front == m_pieces.size())
        clear();
    return chunk;
}

void BodyBuffer::replaceWith(BodyBuffer& other)
{
    clear();
    m_pieces.swap(other.m_pieces);
    m_front = std::exchange(other.m_front, 0);
    m_bodyBytes = std::exchange(other.m_bodyBytes, 0);
    const auto held = other.m_heldBytes;
    other.setHeldBytes(0);
    setHeldBytes(held);
}

void BodyBuffer::clear()
{
    m_pieces = {};
    m_front = 0;
    m_bodyBytes = 0;
    setHeldBytes(0);
}

std::string BodyBuffer::prefix(std::size_t maximumBytes) const
{
    std::string text;
    for (std::size_t i = 0; i < pieceCount() && text.size() < maximumBytes; ++i)
        text.append(piece(i).data, 0, maximumBytes - text.size());
    return text;
}

} // namespace tarragonhaven
