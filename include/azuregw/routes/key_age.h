// Age of the configuration up to which API keys are accepted.
//
// A key that an operator removes must be refused within a bound, also by instances that cannot
// reach the store. An instance therefore accepts keys only while its configuration was confirmed a
// short time ago.

#ifndef AZUREGW_ROUTES_KEY_AGE_H_
#define AZUREGW_ROUTES_KEY_AGE_H_

#include <algorithm>

#include "azuregw/base/clock.h"

namespace azuregw {

// Longest delay of a watch event after the last confirmation of the watch. A store that compacts
// its history may be silent for 1 s.
constexpr Milliseconds kMaxWatchDelay{1000};
// Allowance for the time from the last check of the key's age to the use of the key.
constexpr Milliseconds kKeyCheckMargin{500};
// Bounds up to this one cannot be kept.
constexpr Milliseconds kMinKeyRemovalBound = kMaxWatchDelay + kKeyCheckMargin;

// Returns the greatest age for a bound on the use of removed keys; 0 means no limit, for a bound of
// 0. A bound that cannot be kept gives an age at which no key is accepted.
inline Milliseconds KeyAgeLimit(Milliseconds removal_bound) {
  if (removal_bound.count() == 0) {
    return Milliseconds(0);
  }
  return std::max(removal_bound - kMinKeyRemovalBound, Milliseconds(1));
}

}  // namespace azuregw

#endif  // AZUREGW_ROUTES_KEY_AGE_H_
