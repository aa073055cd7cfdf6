// Bounds retries to a share of first attempts, so that retries cannot multiply an overload.

#ifndef AZUREGW_ADMISSION_RETRY_BUDGET_H_
#define AZUREGW_ADMISSION_RETRY_BUDGET_H_

#include "azuregw/base/clock.h"

namespace azuregw {

// Counts over a window of about ten seconds. Not thread-safe.
class RetryBudget {
 public:
  // A target with little traffic may still retry this often per window.
  static constexpr double kReserve = 3.0;

  void OnFirstAttempt(TimePoint now);
  // Whether a retry fits in `percent` of the recent first attempts; takes it when it does. At 0
  // percent, never.
  bool Take(int percent, TimePoint now);

 private:
  void Decay(TimePoint now);

  double m_attempts = 0;  // Decaying counts.
  double m_retries = 0;
  TimePoint m_updated;
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_RETRY_BUDGET_H_
