// Parameters of admission. The shipped binary uses the defaults; tests switch single mechanisms off
// to show what each contributes.

#ifndef AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_
#define AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_

#include <cstddef>

#include "azuregw/admission/adaptive_limit.h"

namespace azuregw {

struct AdmissionOptions {
  AdaptiveLimitOptions limit;
  size_t max_waiting = 4096;    // Per target.
  bool adapt_limit = true;      // False: the limit stays at an even share of the capacity.
  bool fair_queueing = true;    // False: one queue in order of arrival.
  bool check_deadlines = true;  // False: requests wait until their deadline has passed.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_ADMISSION_OPTIONS_H_
