// Decides whether a stream that finds no free path is queued or refused, and when a refused caller
// should retry.
//
// Decision module without I/O. It handles bursts and the failure of engines at peak load: a stream
// is queued only if a path is likely to become free while the response can still be on time, and
// retries of refused callers are spread over time, after the current queue has drained.

#ifndef AZUREGW_ADMISSION_WAIT_POLICY_H_
#define AZUREGW_ADMISSION_WAIT_POLICY_H_

#include <optional>

#include "azuregw/base/clock.h"

namespace azuregw {

// State on which the wait and the retry time of one request depend.
struct WaitInputs {
  Milliseconds target_latency{0};  // Target time to the first event; 0 for none.
  Milliseconds time_left{0};       // Time until the caller gives up.
  bool is_retry = false;           // Refused before: already late, but must not be lost.
  int queued_ahead = 0;            // Streams that are queued before this one.
  double starts_per_s = 0;         // Recent start rate of streams.
};

// Returns the maximum time that the request may be queued; nullopt to refuse it immediately.
std::optional<Milliseconds> AllowedWait(const WaitInputs& inputs);

// Returns the time after which a refused caller should retry. `random` in [0, 1) selects the
// jitter.
Milliseconds RetryAfter(const WaitInputs& inputs, double random);

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_WAIT_POLICY_H_
