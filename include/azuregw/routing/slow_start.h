// Ramp-up of new and recovered engines.

#ifndef AZUREGW_ROUTING_SLOW_START_H_
#define AZUREGW_ROUTING_SLOW_START_H_

#include <atomic>
#include <cstdint>

#include "azuregw/base/clock.h"

namespace azuregw {

// Share of an engine's capacity that may be used. Thread-safe.
class SlowStart {
 public:
  // Starts the ramp at `at`, which may lie in the future.
  void Begin(TimePoint at);
  // Between kInitialShare and 1; 1 when no ramp was started.
  double Share(TimePoint now) const;

 private:
  std::atomic<int64_t> m_begin_ns{0};  // 0: no ramp.
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_SLOW_START_H_
