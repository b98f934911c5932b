#pragma once

#include "tarragonhaven/exchange.h"

#include <memory>
#include <utility>

namespace tarragonhaven {

// Moves one request from `Asker` through `Path` and its answer back, a chunk at a time, so that the slower
// side sets the pace and at most one chunk is held. It ends with exactly one of the asker's refuse(), cut()
// and finished(), unless the asker goes away first; then the exchange is cancelled.
template <Downstream Asker, Exchange Path>
class Relay : public std::enable_shared_from_this<Relay<Asker, Path>> {
public:
    Relay(std::shared_ptr<Asker> asker, std::shared_ptr<Path> path, bool hasBody)
        : m_asker(std::move(asker))
        , m_path(std::move(path))
        , m_hasBody(hasBody)
    {
    }

    void start()
    {
        m_path->open([self = this->shared_from_this()](Outcome<void> opened) {
            if (!opened)
                return self->m_asker->refuse(opened.error());
            self->m_asker->opened(self->orCancel([self] { self->sendBody(); }));
        });
    }

private:
    // Continues with `next` while the asker is there, else cancels the exchange.
    template <typename Next> std::function<void(bool)> orCancel(Next next)
    {
        return [self = this->shared_from_this(), next = std::move(next)](bool alive) {
            if (!alive)
                return self->m_path->cancel();
            next();
        };
    }

    void sendBody()
    {
        if (!m_hasBody)
            return sendChunk({ "", true });
        m_asker->readBody([self = this->shared_from_this()](bool alive, BodyChunk chunk) {
            if (!alive)
                return self->m_path->cancel();
            self->sendChunk(std::move(chunk));
        });
    }

    void sendChunk(BodyChunk chunk)
    {
        const bool last = chunk.last;
        m_path->writeBody(std::move(chunk), [self = this->shared_from_this(), last](Outcome<void> written) {
            if (written && !last)
                return self->sendBody();
            self->receiveHead();
        });
    }

    void receiveHead()
    {
        m_path->readHead([self = this->shared_from_this()](Outcome<ResponseHead> head) {
            if (!head)
                return self->m_asker->refuse(head.error());
            const bool hasBody = head->hasBody;
            self->m_asker->writeHead(*head, self->orCancel([self, hasBody] {
                if (hasBody)
                    return self->receiveBody();
                self->m_asker->finished();
            }));
        });
    }

    void receiveBody()
    {
        m_path->readBody([self = this->shared_from_this()](Outcome<BodyChunk> chunk) {
            if (!chunk)
                return self->m_asker->cut(chunk.error());
            const bool last = chunk->last;
            self->m_asker->writeBody(std::move(*chunk), self->orCancel([self, last] {
                if (!last)
                    return self->receiveBody();
                self->m_asker->finished();
            }));
        });
    }

    std::shared_ptr<Asker> m_asker;
    std::shared_ptr<Path> m_path;
    bool m_hasBody;
};

} // namespace tarragonhaven
