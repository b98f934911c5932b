#pragma once

namespace util {

// Prints the file, the line and the text of a violated invariant to stderr and aborts the process.
[[noreturn]] void checkFailed(const char* file, int line, const char* condition, const char* invariant);

} // namespace util

// Aborts the process if `condition` is false; `invariant` states in words what must be true. Use this only
// for invariants of the program itself. Invalid input from callers, targets, peers and operators is reported
// with error values instead.
#define TARRAGONHAVEN_CHECK(condition, invariant)                                                            \
    do {                                                                                                     \
        if (!(condition))                                                                                    \
            ::util::checkFailed(__FILE__, __LINE__, #condition, (invariant));                                \
    } while (false)
