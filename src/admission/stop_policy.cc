// Acceptance and end of requests after a stop signal.

#include "azuregw/admission/stop_policy.h"

#include <algorithm>

namespace azuregw {
namespace {

// Time after the signal during which resumable streams are accepted. Streams of usual length that
// begin later could not end within the grace period. By then, the load balancer sends callers
// elsewhere unless too few instances are left.
constexpr Milliseconds kStreamAcceptance{2900};
// Resumable streams are accepted in at most this part, as a divisor, of a short grace period.
constexpr int kGraceDivisor = 2;

}  // namespace

TimePoint StopResponseTime(const StopWindow& window) {
  return window.signalled_at + std::max(Milliseconds(0), window.grace - kStopResponseMargin);
}

TimePoint StopExitTime(const StopWindow& window) {
  return window.signalled_at + std::max(Milliseconds(0), window.grace - kStopExitMargin);
}

bool AcceptedWhileStopping(const StopWindow& window, const RequestPromise& promise, TimePoint now) {
  if (promise.resumable_stream) {
    const Milliseconds acceptance = std::min(kStreamAcceptance, window.grace / kGraceDivisor);
    return now - window.signalled_at <= acceptance;
  }
  return now + promise.limit <= StopResponseTime(window);
}

}  // namespace azuregw
