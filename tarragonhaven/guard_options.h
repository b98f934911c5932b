#pragma once

#include "tarragonhaven/attempt_record.h"
#include "tarragonhaven/header_names.h"
#include "tarragonhaven/target_breaker.h"
#include "util/time.h"

#include <functional>
#include <optional>

namespace tarragonhaven {

// How a guard treats its targets. The default is for targets that nodes guard by declaration.
struct GuardOptions {
    HeaderNames dialect;
    // Holds back requests from a target that fails them; none to leave that to the entries alone.
    std::optional<BreakerOptions> breaker;
    // Whether a request is refused at once when the queue is too long for its deadline.
    bool predictWaits = false;
    // Whether an answer without a length ends with its connection.
    bool unframedAnswers = false;
    // A target that is silent on a connection for this long is taken for gone; zero to leave it to the
    // system.
    util::Duration silence {};
    util::Duration connectTimeout = std::chrono::seconds(1);
    // How long a connection may have been idle to carry a request: one that may be repeated, and any other.
    util::Duration idleLimit = std::chrono::seconds(30);
    util::Duration idleLimitNotIdempotent = std::chrono::milliseconds(500);
    // Told of each try at a guarded target when it ends; may be empty.
    std::function<void(const AttemptRecord&)> onAttempt;
};

} // namespace tarragonhaven
