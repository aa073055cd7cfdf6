// Linear ramp-up from kInitialShare to the full capacity.

#include "azuregw/routing/slow_start.h"

#include <algorithm>

namespace azuregw {
namespace {

constexpr double kInitialShare = 0.1;  // Share of the capacity at the start of the ramp-up.
constexpr double kRampNs = 10e9;       // Duration of the ramp-up.

}  // namespace

void SlowStart::Begin(TimePoint at) {
  m_begin_ns.store(at.time_since_epoch().count(), std::memory_order_relaxed);
}

double SlowStart::CapacityShare(TimePoint now) const {
  const int64_t begin = m_begin_ns.load(std::memory_order_relaxed);
  if (begin == 0) {
    return 1.0;
  }
  const double passed = static_cast<double>(now.time_since_epoch().count() - begin) / kRampNs;
  return std::clamp(kInitialShare + (1.0 - kInitialShare) * passed, kInitialShare, 1.0);
}

}  // namespace azuregw
