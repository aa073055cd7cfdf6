// Processor time, memory and threads of this process, from getrusage() and /proc.

#ifndef SRC_METRICS_PROCESS_USAGE_H_
#define SRC_METRICS_PROCESS_USAGE_H_

#include <cstdint>

namespace azuregw {

// Resource usage of this process; 0 for a value that cannot be read.
struct ProcessUsage {
  double cpu_seconds = 0;      // User and system time.
  int64_t resident_bytes = 0;  // Resident memory.
  int64_t threads = 0;         // Number of threads.
};

// Reads the current resource usage.
ProcessUsage ReadProcessUsage();

// Returns the processor time of the calling thread in seconds, 0 if it cannot be read.
double ThreadCpuSeconds();

}  // namespace azuregw

#endif  // SRC_METRICS_PROCESS_USAGE_H_
