// Decides whether a stream that finds no free path waits for one or is refused, and when a refused
// caller should come back.
//
// Decision module: no I/O. It answers bursts and the loss of engines at the peak: a wait is offered
// only if a path will likely be free while the answer can still be in time, and refused callers
// come back spread out, when the present queue will be gone.

#ifndef AZUREGW_ADMISSION_WAIT_POLICY_H_
#define AZUREGW_ADMISSION_WAIT_POLICY_H_

#include <optional>

#include "azuregw/base/clock.h"

namespace azuregw {

struct WaitInputs {
  Milliseconds target_latency{0};  // To the first event.
  Milliseconds time_left{0};       // Of the caller's patience.
  bool is_retry = false;           // It was refused before: it is late, but must not be lost.
  int queued_ahead = 0;
  double starts_per_s = 0;  // Streams that began lately.
};

// How long the request may wait; nullopt: refuse it now.
std::optional<Milliseconds> AllowedWait(const WaitInputs& inputs);

// `random` is in [0, 1).
Milliseconds RetryAfter(const WaitInputs& inputs, double random);

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_WAIT_POLICY_H_
