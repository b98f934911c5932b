#pragma once

#include "tarragonhaven/exchange.h"

#include <memory>
#include <utility>

namespace tarragonhaven {

// Forwards one request from a `Requester` through a `RequestExchange`, and its response back. Forwards one
// chunk at a time, so that the slower side sets the rate and at most one chunk is in memory. Ends with
// exactly one call of the requester's refuse(), abort() or finish(), unless the requester disconnects first;
// then the exchange is cancelled.
template <Downstream Requester, Exchange RequestExchange>
class Relay : public std::enable_shared_from_this<Relay<Requester, RequestExchange>> {
public:
    Relay(std::shared_ptr<Requester> requester, std::shared_ptr<RequestExchange> exchange, bool hasBody)
        : m_requester(std::move(requester))
        , m_exchange(std::move(exchange))
        , m_hasBody(hasBody)
    {
    }

    void start()
    {
        m_exchange->open([self = this->shared_from_this()](Outcome<void> opened) {
            if (!opened)
                return self->m_requester->refuse(opened.error());
            self->m_requester->onOpened(self->continueOrCancel([self] { self->sendBody(); }));
        });
    }

private:
    // Returns a handler that calls `next` if the requester is connected and cancels the exchange otherwise.
    template <typename Next> std::function<void(bool)> continueOrCancel(Next next)
    {
        return [self = this->shared_from_this(), next = std::move(next)](bool connected) {
            if (!connected)
                return self->m_exchange->cancel();
            next();
        };
    }

    void sendBody()
    {
        if (!m_hasBody)
            return sendChunk({ "", true });
        m_requester->readBody([self = this->shared_from_this()](bool connected, BodyChunk chunk) {
            if (!connected)
                return self->m_exchange->cancel();
            self->sendChunk(std::move(chunk));
        });
    }

    void sendChunk(BodyChunk chunk)
    {
        const bool last = chunk.last;
        m_exchange->writeBody(
            std::move(chunk), [self = this->shared_from_this(), last](Outcome<void> written) {
                if (written && !last)
                    return self->sendBody();
                self->receiveHead();
            });
    }

    void receiveHead()
    {
        m_exchange->readHead([self = this->shared_from_this()](Outcome<ResponseHead> head) {
            if (!head)
                return self->m_requester->refuse(head.error());
            const bool hasBody = head->hasBody;
            self->m_requester->writeHead(*head, self->continueOrCancel([self, hasBody] {
                if (hasBody)
                    return self->receiveBody();
                self->m_requester->finish();
            }));
        });
    }

    void receiveBody()
    {
        m_exchange->readBody([self = this->shared_from_this()](Outcome<BodyChunk> chunk) {
            if (!chunk)
                return self->m_requester->abort(chunk.error());
            const bool last = chunk->last;
            self->m_requester->writeBody(std::move(*chunk), self->continueOrCancel([self, last] {
                if (!last)
                    return self->receiveBody();
                self->m_requester->finish();
            }));
        });
    }

    std::shared_ptr<Requester> m_requester;
    std::shared_ptr<RequestExchange> m_exchange;
    bool m_hasBody;
};

} // namespace tarragonhaven
