// Maximum wait of queued streams and retry times of refused callers.

#include "azuregw/admission/wait_policy.h"

#include <algorithm>

namespace azuregw {
namespace {

// Fraction of the latency target available for waiting; prompt processing takes most of the rest.
constexpr double kMaxWaitShareOfTarget = 0.6;
// Maximum wait of a request that was refused before. Callers abandon a stream after 2 s without
// data.
constexpr Milliseconds kMaxRetryWait{1500};
// Maximum retry_after, as a fraction of the time left, that callers accept.
constexpr double kMaxRetryAfterShare = 1.0 / 3;
constexpr Milliseconds kMinRetryAfter{800};
// Range of the retry_after jitter, as a multiple of the minimum.
constexpr double kRetryAfterJitter = 2.0;

// Returns the expected time until the streams ahead have started.
double QueueDrainMs(const WaitInputs& inputs) {
  if (inputs.queued_ahead == 0) {
    return 0;
  }
  return 1000 * inputs.queued_ahead / std::max(0.5, inputs.starts_per_s);
}

}  // namespace

std::optional<Milliseconds> AllowedWait(const WaitInputs& inputs) {
  Milliseconds wait = kMaxRetryWait;
  if (!inputs.is_retry && inputs.target_latency.count() > 0) {
    wait = Milliseconds(static_cast<int64_t>(kMaxWaitShareOfTarget *
                                             static_cast<double>(inputs.target_latency.count())));
  }
  wait = std::min(wait, inputs.time_left / 2);
  if (wait.count() <= 0 || QueueDrainMs(inputs) > static_cast<double>(wait.count())) {
    return std::nullopt;
  }
  return wait;
}

Milliseconds RetryAfter(const WaitInputs& inputs, double random) {
  const double least = std::max(static_cast<double>(kMinRetryAfter.count()), QueueDrainMs(inputs));
  const double most = kMaxRetryAfterShare * static_cast<double>(inputs.time_left.count());
  return Milliseconds(
      static_cast<int64_t>(std::min(most, least * (1 + kRetryAfterJitter * random))));
}

}  // namespace azuregw
