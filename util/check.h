#pragma once

namespace util {

// Stops the process with the file, line and text of a broken invariant. Never returns.
[[noreturn]] void checkFailed(const char* file, int line, const char* condition, const char* invariant);

} // namespace util

// Stops the process when `condition` does not hold. For invariants of the program itself only: input from
// callers, targets, peers and operators is answered with error values.
#define TARRAGONHAVEN_CHECK(condition, invariant)                                                            \
    do {                                                                                                     \
        if (!(condition))                                                                                    \
            ::util::checkFailed(__FILE__, __LINE__, #condition, (invariant));                                \
    } while (false)
