#include "tarragonhaven/pipelining/pending_response.h"

#include "util/check.h"

#include <utility>

namespace tarragonhaven {

void PendingResponse::refuse(Refusal refusal)
{
    TARRAGONHAVEN_CHECK(!m_begun, "a response that has begun cannot be refused");
    clear();
    m_refused = true;
    m_refusal = std::move(refusal);
}

void PendingResponse::clear()
{
    m_head.reset();
    m_body.clear();
    m_ended = false;
}

PendingResponse::Part PendingResponse::next() const
{
    if (m_refusal)
        return Part::Refusal;
    if (m_head)
        return Part::Head;
    if (!m_begun)
        return Part::None;
    if (!m_body.empty())
        return Part::Chunk;
    return m_ended ? Part::End : Part::None;
}

Refusal PendingResponse::takeRefusal()
{
    m_begun = true;
    return *std::exchange(m_refusal, std::nullopt);
}

ResponseHead PendingResponse::takeHead()
{
    m_begun = true;
    return *std::exchange(m_head, std::nullopt);
}

} // namespace tarragonhaven
