#pragma once

#include "tarragonhaven/message_head.h"
#include "tarragonhaven/refusal.h"

#include <concepts>
#include <functional>
#include <tl/expected.hpp>

namespace tarragonhaven {

template <typename T> using Outcome = tl::expected<T, Refusal>;
template <typename T> using OutcomeHandler = std::function<void(Outcome<T>)>;

// One request on its way to a target and its answer on the way back. Calls follow this order, each after the
// handler of the one before: open, writeBody until a last chunk, readHead, readBody until a last chunk. A
// failed write may be followed by readHead, since a target may answer before it has read the whole body.
// Handlers run on the traffic thread, never inside the call. cancel() may come at any time; no handler runs
// after it.
template <typename T>
concept Exchange = requires(T& exchange, BodyChunk chunk)
{
    exchange.open(OutcomeHandler<void> {});
    exchange.writeBody(chunk, OutcomeHandler<void> {});
    exchange.readHead(OutcomeHandler<ResponseHead> {});
    exchange.readBody(OutcomeHandler<BodyChunk> {});
    exchange.cancel();
};

// The side that asked: where the body of a request comes from and where its answer goes. A handler that gets
// false means that the asker is gone.
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
