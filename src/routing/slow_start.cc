// Linear ramp-up.

#include "azuregw/routing/slow_start.h"

#include <algorithm>

namespace azuregw {
namespace {

constexpr double kInitialShare = 0.1;
constexpr double kWindowNs = 10e9;

}  // namespace

void SlowStart::Begin(TimePoint at) {
  m_begin_ns.store(at.time_since_epoch().count(), std::memory_order_relaxed);
}

double SlowStart::Share(TimePoint now) const {
  const int64_t begin = m_begin_ns.load(std::memory_order_relaxed);
  if (begin == 0) {
    return 1.0;
  }
  const double passed = static_cast<double>(now.time_since_epoch().count() - begin) / kWindowNs;
  return std::clamp(kInitialShare + (1.0 - kInitialShare) * passed, kInitialShare, 1.0);
}

}  // namespace azuregw
