#pragma once

#include "tarragonhaven/request_context.h"

#include <algorithm>

namespace tarragonhaven {

// How long after the deadline of a request its nodes still exchange frames about it, so that what the guard
// node says of the end arrives first.
inline constexpr util::Duration frameGrace = std::chrono::milliseconds(150);

// Returns whether no frame of the request can be of use any more: its deadline applies to the whole response,
// and has passed by more than the grace period.
inline bool framesExpired(const RequestContext& context, util::Time now)
{
    return context.deadlineCoversBody && now >= context.deadline + frameGrace;
}

// Returns the time limit for a frame up to the head of the response.
inline util::Duration headFrameTimeout(const RequestContext& context, util::Time now)
{
    return std::max<util::Duration>(context.deadline - now, std::chrono::milliseconds(1)) + frameGrace;
}

// Returns the time limit for a frame of a body: `idleTimeout`, or less if the deadline applies to the body.
inline util::Duration bodyFrameTimeout(
    const RequestContext& context, util::Duration idleTimeout, util::Time now)
{
    return context.deadlineCoversBody ? std::min(idleTimeout, headFrameTimeout(context, now)) : idleTimeout;
}

} // namespace tarragonhaven
