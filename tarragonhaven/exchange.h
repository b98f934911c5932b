#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"

#include <concepts>
#include <functional>
#include <tl/expected.hpp>

namespace tarragonhaven {

template <typename T> using Outcome = tl::expected<T, Refusal>;
template <typename T> using OutcomeHandler = std::function<void(Outcome<T>)>;

// Sends one request to a target and receives its response. The calls must come in this order, each after the
// handler of the previous call has run: open, writeBody up to the last chunk, readHead, readBody up to the
// last chunk. readHead may follow a failed write, since a target may respond before it has read the whole
// body. Handlers run on the traffic thread, never inside the call, and get a Refusal on failure. cancel() may
// be called at any time; no handler runs after it.
template <typename T>
concept Exchange = requires(T& exchange, BodyChunk chunk)
{
    exchange.open(OutcomeHandler<void> {});
    exchange.writeBody(chunk, OutcomeHandler<void> {});
    exchange.readHead(OutcomeHandler<ResponseHead> {});
    exchange.readBody(OutcomeHandler<BodyChunk> {});
    exchange.cancel();
};

// The requester's side: the source of the request body and the destination of the response. A handler that
// receives false means that the requester has disconnected.
template <typename T>
concept Downstream
    = requires(T& downstream, BodyChunk chunk, const ResponseHead& head, const Refusal& refusal)
{
    downstream.readBody(std::function<void(bool, BodyChunk)> {});
    downstream.onOpened(std::function<void(bool)> {});
    downstream.writeHead(head, std::function<void(bool)> {});
    downstream.writeBody(chunk, std::function<void(bool)> {});
    downstream.refuse(refusal);
    downstream.abort(refusal);
    downstream.finish();
};

} // namespace tarragonhaven
