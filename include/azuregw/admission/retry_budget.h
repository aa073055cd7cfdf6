// Retry budget of one target.

#ifndef AZUREGW_ADMISSION_RETRY_BUDGET_H_
#define AZUREGW_ADMISSION_RETRY_BUDGET_H_

#include "azuregw/base/clock.h"

namespace azuregw {

// Limits retries to a percentage of first attempts, so that retries cannot amplify an overload.
// Uses counts that decay with a time constant of 10 s. Not thread-safe.
class RetryBudget {
 public:
  // Retries per window that are allowed at a target with little traffic.
  static constexpr double kMinRetriesPerWindow = 3.0;

  // Counts a first attempt.
  void OnFirstAttempt(TimePoint now);
  // Returns whether a retry fits within `percent` of the recent first attempts plus the minimum,
  // and counts it if it does. Returns false if `percent` is 0.
  bool Take(int percent, TimePoint now);

 private:
  void Decay(TimePoint now);

  double m_attempts = 0;  // Decaying count of first attempts.
  double m_retries = 0;   // Decaying count of retries.
  TimePoint m_updated;    // Time of the last decay.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_RETRY_BUDGET_H_
