// Parameters of admission. The shipped binary uses the defaults; tests switch single mechanisms off
// to show what each contributes.

#ifndef AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_
#define AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_

#include <cstddef>

#include "azuregw/admission/adaptive_limit.h"

namespace azuregw {

struct AdmissionOptions {
  AdaptiveLimitOptions limit;
  size_t max_waiting = 4096;  // Per target.
  bool adapt_limit = true;    // False: the limit stays at an even share of the capacity.
  double fair_credit = 4;     // See FairQueue.
  // Share of the limit that is kept free for workspaces below their share, while several are
  // active.
  double reserve = 0.2;
  bool fair_queueing = true;    // False: one queue in order of arrival.
  bool spread_hints = true;     // False: all refused callers are told the same time.
  bool check_deadlines = true;  // False: requests wait until their deadline has passed.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_
