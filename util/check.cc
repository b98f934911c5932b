#include "util/check.h"

#include <cstdio>
#include <cstdlib>

namespace util {

void checkFailed(const char* file, int line, const char* condition, const char* invariant)
{
    std::fprintf(stderr, "%s:%d: invariant violated: %s (%s)\n", file, line, invariant, condition);
    std::abort();
}

} // namespace util
