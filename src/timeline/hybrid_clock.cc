// Hybrid logical clock.

#include "azuregw/timeline/hybrid_clock.h"

#include <algorithm>

namespace azuregw {
namespace {

constexpr int64_t kMaxAheadMs = 60000;

}  // namespace

uint64_t HybridLogicalClock::Now() {
  const uint64_t wall = static_cast<uint64_t>(m_clock.WallMs()) << 16;
  uint64_t last = m_last.load();
  uint64_t next = 0;
  do {
    next = std::max(last + 1, wall);
  } while (!m_last.compare_exchange_weak(last, next));
  return next;
}

void HybridLogicalClock::Observe(uint64_t stamp) {
  if (WallMs(stamp) > m_clock.WallMs() + kMaxAheadMs) {
    return;
  }
  uint64_t last = m_last.load();
  while (last < stamp && !m_last.compare_exchange_weak(last, stamp)) {
  }
}

}  // namespace azuregw
