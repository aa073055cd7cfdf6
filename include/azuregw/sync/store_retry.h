// How soon an instance calls the store again after a failure.
//
// Decision module: no I/O. All instances lose the store at once; the larger the fleet, the more
// slowly each one asks, so that their calls together stay few. Answered waits are spread, because
// the failures of an outage begin together.

#ifndef AZUREGW_SYNC_STORE_RETRY_H_
#define AZUREGW_SYNC_STORE_RETRY_H_

#include <algorithm>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"

namespace azuregw {

class StoreRetry {
 public:
  // Least time between two calls of one kind. Keys are honoured 3.5 s after the last confirmation.
  static constexpr Milliseconds kLeast{250};
  // Calls of one kind that the fleet makes: about 100 a second, a twentieth of the smallest store's
  // limit.
  static constexpr Milliseconds kPerInstance{10};
  static constexpr Milliseconds kMost{2000};

  explicit StoreRetry(Random* random) : m_random(random) {}

  void SetInstances(int instances) { m_instances = instances; }
  // Between three quarters and five quarters of the interval.
  Milliseconds Next() {
    const Milliseconds interval = std::clamp(m_instances * kPerInstance, kLeast, kMost);
    const double factor = 0.75 + 0.5 * m_random->Unit();
    return Milliseconds(static_cast<int64_t>(factor * static_cast<double>(interval.count())));
  }

 private:
  Random* const m_random;
  int m_instances = 1;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_STORE_RETRY_H_
