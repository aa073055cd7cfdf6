// Hybrid logical clock: time stamps that follow the wall clock and never contradict the order of
// messages between instances, whatever the difference of their clocks.
//
// A stamp is milliseconds since the Unix epoch in the upper 48 bits and a counter in the lower 16.

#ifndef AZUREGW_TIMELINE_HYBRID_CLOCK_H_
#define AZUREGW_TIMELINE_HYBRID_CLOCK_H_

#include <atomic>
#include <cstdint>

#include "azuregw/base/clock.h"

namespace azuregw {

// Thread-safe.
class HybridLogicalClock {
 public:
  // `clock` must outlive this object.
  explicit HybridLogicalClock(const Clock& clock) : m_clock(clock) {}

  // Stamp of a local event or of a message to be sent; above every earlier stamp.
  uint64_t Now();
  // Takes note of the stamp of a received message. Stamps more than a minute ahead of the wall
  // clock come from a broken clock and are ignored.
  void Observe(uint64_t stamp);

  static int64_t WallMs(uint64_t stamp) { return static_cast<int64_t>(stamp >> 16); }

 private:
  const Clock& m_clock;
  std::atomic<uint64_t> m_last{0};  // Never decreases.
};

}  // namespace azuregw

#endif  // AZUREGW_TIMELINE_HYBRID_CLOCK_H_
