// Processor time, memory and threads of this process, from /proc.

#ifndef SRC_METRICS_PROCESS_USAGE_H_
#define SRC_METRICS_PROCESS_USAGE_H_

#include <cstdint>

namespace azuregw {

struct ProcessUsage {
  double cpu_seconds = 0;  // User and system time.
  int64_t resident_bytes = 0;
  int64_t threads = 0;
};

ProcessUsage ReadProcessUsage();

// Processor time of the calling thread, in seconds.
double ThreadCpuSeconds();

}  // namespace azuregw

#endif  // SRC_METRICS_PROCESS_USAGE_H_
