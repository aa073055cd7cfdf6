// Decides when a failed component is started again, and when it fails too often. No I/O.

#ifndef AZUREGW_SUPERVISOR_RESTART_POLICY_H_
#define AZUREGW_SUPERVISOR_RESTART_POLICY_H_

#include <deque>

#include "azuregw/base/clock.h"

namespace azuregw {

struct RestartOptions {
  Milliseconds first_delay{50};
  Milliseconds last_delay{5000};  // Delays double up to this one.
  int max_failures = 5;           // More failures within `window` take the instance out of service.
  Milliseconds window{60000};
};

// Times passed to one policy must not decrease.
class RestartPolicy {
 public:
  explicit RestartPolicy(const RestartOptions& options);

  // The component failed at `now`. Returns the delay before it is started again; it is always
  // started again, so that the instance recovers by itself when the cause goes away.
  Milliseconds OnFailure(TimePoint now);

  // Whether the component failed more than `max_failures` times within the last window.
  bool FailsTooOften(TimePoint now);

 private:
  void Forget(TimePoint now);

  const RestartOptions m_options;
  std::deque<TimePoint> m_failures;  // Within the window, oldest first.
};

}  // namespace azuregw

#endif  // AZUREGW_SUPERVISOR_RESTART_POLICY_H_
