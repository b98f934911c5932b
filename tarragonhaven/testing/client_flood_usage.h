#pragma once

#include <sys/types.h>

namespace tarragonhaven::testing {

// The memory of a process in kilobytes, as the kernel reports it; 0 if the process has ended.
struct MemoryUsage {
    // Resident now, and at the highest since the start of the process.
    long residentKb = 0;
    long peakKb = 0;
};

// Returns the memory that a process uses.
MemoryUsage memoryUsage(pid_t process);
// Returns the number of open descriptors of a process; 0 if the process has ended.
int openDescriptors(pid_t process);

} // namespace tarragonhaven::testing
