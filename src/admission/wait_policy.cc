// Waiting and coming back.

#include "azuregw/admission/wait_policy.h"

#include <algorithm>

namespace azuregw {
namespace {

// Share of the latency target that waiting may take; prompts take most of the rest.
constexpr double kFreshWaitShare = 0.6;
// A returning request may wait longer. Callers give up a stream after 2 s of silence.
constexpr Milliseconds kReturningWait{1500};
// Share of the time left that a caller accepts as a time to come back.
constexpr double kRetryAfterShare = 1.0 / 3;
constexpr Milliseconds kLeastRetryAfter{800};
// The spread of times to come back, as a multiple of the least one.
constexpr double kRetryAfterSpread = 2.0;

double DrainMs(const WaitInputs& inputs) {
  if (inputs.queued_ahead == 0) {
    return 0;
  }
  return 1000 * inputs.queued_ahead / std::max(0.5, inputs.starts_per_s);
}

}  // namespace

std::optional<Milliseconds> AllowedWait(const WaitInputs& inputs) {
  Milliseconds wait = kReturningWait;
  if (!inputs.is_retry && inputs.target_latency.count() > 0) {
    wait = Milliseconds(
        static_cast<int64_t>(kFreshWaitShare * static_cast<double>(inputs.target_latency.count())));
  }
  wait = std::min(wait, inputs.time_left / 2);
  if (wait.count() <= 0 || DrainMs(inputs) > static_cast<double>(wait.count())) {
    return std::nullopt;
  }
  return wait;
}

Milliseconds RetryAfter(const WaitInputs& inputs, double random) {
  const double least = std::max(static_cast<double>(kLeastRetryAfter.count()), DrainMs(inputs));
  const double most = kRetryAfterShare * static_cast<double>(inputs.time_left.count());
  return Milliseconds(
      static_cast<int64_t>(std::min(most, least * (1 + kRetryAfterSpread * random))));
}

}  // namespace azuregw
