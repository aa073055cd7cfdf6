// Decides which requests a stopping instance still accepts.
//
// Decision module without I/O. Load pattern: a rolling restart. The load balancer sends requests to
// a stopping instance until it has missed its readiness, and to the end if few instances are left.
// A request that is accepted and then cut off has an unknown outcome, whereas one that is refused
// as not run is served by another instance after one more round trip.

#ifndef AZUREGW_ADMISSION_STOP_POLICY_H_
#define AZUREGW_ADMISSION_STOP_POLICY_H_

#include "azuregw/base/clock.h"

namespace azuregw {

// A stop signal, and the grace period that was in force when it arrived.
struct StopWindow {
  TimePoint signalled_at;
  Milliseconds grace{0};
};

// What the acceptance of a request promises to its caller.
struct RequestPromise {
  Milliseconds limit{0};  // Longest time to the response: deadline or timeout of the route.
  // The response is a stream that its caller can resume at another instance.
  bool resumable_stream = false;
};

// Part of the grace period before its end in which the process exits.
constexpr Milliseconds kStopExitMargin{150};
// Part of the grace period before its end by which all responses have ended. Those of requests that
// are still running end here, which leaves time to send them.
constexpr Milliseconds kStopResponseMargin{300};

// Returns the time at which requests that are still running get their final response.
TimePoint StopResponseTime(const StopWindow& window);
// Returns the time at which the process exits at the latest.
TimePoint StopExitTime(const StopWindow& window);

// Returns whether a request that arrives at `now` is accepted: its response ends before
// StopResponseTime() even if it takes as long as it may, or its caller loses nothing otherwise.
bool AcceptedWhileStopping(const StopWindow& window, const RequestPromise& promise, TimePoint now);

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_STOP_POLICY_H_
