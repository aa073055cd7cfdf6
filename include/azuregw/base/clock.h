// Time sources. Decision modules take time points as arguments; adapters read them from a Clock.

#ifndef AZUREGW_BASE_CLOCK_H_
#define AZUREGW_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace azuregw {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using TimePoint = std::chrono::steady_clock::time_point;

class Clock {
 public:
  virtual ~Clock() = default;
  // Monotonic time, for deadlines and intervals. CLOCK_MONOTONIC; it advances during SIGSTOP.
  virtual TimePoint Now() const = 0;
  // Milliseconds since the Unix epoch, for records that people and other processes read.
  virtual int64_t WallMs() const = 0;
};

// The process's clocks; thread-safe, never destroyed.
const Clock& SystemClock();

}  // namespace azuregw

#endif  // AZUREGW_BASE_CLOCK_H_
