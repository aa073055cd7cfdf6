// Parameters of admission control.

#ifndef AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_
#define AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_

#include <cstddef>

#include "azuregw/admission/adaptive_limit.h"

namespace azuregw {

// The shipped binary uses the defaults. Tests disable single mechanisms to measure the contribution
// of each.
struct AdmissionOptions {
  AdaptiveLimitOptions limit;
  size_t max_waiting = 4096;  // Maximum queue length per target.
  bool adapt_limit = true;    // If false, the limit stays at an even share.
  double fair_credit = 4;     // Credit of each FairQueue, in requests.
  // Fraction of the limit reserved for workspaces below their share, while several workspaces are
  // active.
  double reserve = 0.2;
  bool fair_queueing = true;       // If false, one queue in order of arrival.
  bool spread_retry_after = true;  // If false, all refused callers get the same retry_after.
  bool check_deadlines = true;     // If false, requests wait until their deadline has passed.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_
