#pragma once

#include "tarragonhaven/body_buffer.h"
#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"

#include <optional>

namespace tarragonhaven {

// The response to one request, from the time when its parts arrive until they are taken to be written. Either
// a refusal, or a head, the chunks of its body, and the end.
class PendingResponse {
public:
    // What is to be written next.
    enum class Part {
        // Nothing has arrived that was not taken.
        None,
        Refusal,
        Head,
        Chunk,
        // The response has been taken completely.
        End,
    };

    explicit PendingResponse(BodyBudget& budget)
        : m_body(budget)
    {
    }

    void setHead(ResponseHead head) { m_head = std::move(head); }
    void append(BodyChunk chunk) { m_body.append(std::move(chunk)); }
    void setEnd() { m_ended = true; }
    // Replaces a response of which no part has been taken.
    void refuse(Refusal refusal);
    // Drops what has arrived.
    void clear();

    [[nodiscard]] Part next() const;
    // Return the next part, which must be of this kind.
    Refusal takeRefusal();
    ResponseHead takeHead();
    BodyChunk takeChunk() { return m_body.takeFront(); }

    // Returns whether a head or a refusal has arrived.
    [[nodiscard]] bool arrived() const { return m_begun || m_head || m_refusal; }
    [[nodiscard]] bool refused() const { return m_refused; }
    // Returns whether a part has been taken.
    [[nodiscard]] bool begun() const { return m_begun; }

private:
    std::optional<Refusal> m_refusal;
    std::optional<ResponseHead> m_head;
    BodyBuffer m_body;
    bool m_refused = false;
    bool m_begun = false;
    bool m_ended = false;
};

} // namespace tarragonhaven
