// Slow start: gradual ramp-up of the load on new and recovered engines.

#ifndef AZUREGW_ROUTING_SLOW_START_H_
#define AZUREGW_ROUTING_SLOW_START_H_

#include <atomic>
#include <cstdint>

#include "azuregw/base/clock.h"

namespace azuregw {

// Limits the usable share of an engine's capacity during its ramp-up. Thread-safe.
class SlowStart {
 public:
  // Starts the ramp-up at `at`, which may be in the future.
  void Begin(TimePoint at);
  // Returns the usable share of the capacity, at most 1; 1 if no ramp-up was started.
  double CapacityShare(TimePoint now) const;

 private:
  std::atomic<int64_t> m_begin_ns{0};  // Start of the ramp-up; 0 if none.
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_SLOW_START_H_
