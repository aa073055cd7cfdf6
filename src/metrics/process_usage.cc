// Reads the resource usage of this process from the operating system.

#include "metrics/process_usage.h"

#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace azuregw {
namespace {

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage usage;
  rusage times;
  if (getrusage(RUSAGE_SELF, &times) == 0) {
    usage.cpu_seconds = ToSeconds(times.ru_utime) + ToSeconds(times.ru_stime);
  }
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  std::ifstream statm("/proc/self/statm");
  if (statm >> total_pages >> resident_pages) {
    usage.resident_bytes = resident_pages * sysconf(_SC_PAGESIZE);
  }
  std::error_code error;
  const std::filesystem::directory_iterator tasks("/proc/self/task", error);
  if (!error) {
    usage.threads = std::distance(begin(tasks), end(tasks));
  }
  return usage;
}

double ThreadCpuSeconds() {
  timespec time;
  if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time) != 0) {
    return 0;
  }
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

}  // namespace azuregw
