// Delay between store calls after a failure. No I/O.
//
// All instances lose the store at the same time, so the delay grows with the fleet to bound the
// total call rate. Jitter spreads retries that start together.

#ifndef AZUREGW_SYNC_STORE_RETRY_H_
#define AZUREGW_SYNC_STORE_RETRY_H_

#include <algorithm>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"

namespace azuregw {

// Computes retry delays for failed store calls. One instance shares it between all kinds of calls.
class StoreRetry {
 public:
  // Low enough for several attempts in the 3.5 s for which API keys are accepted after the last
  // confirmation.
  static constexpr Milliseconds kMinInterval{250};
  // Limits the fleet to about 100 calls of one kind per second, 1/20 of the smallest store's limit.
  static constexpr Milliseconds kIntervalPerInstance{10};
  static constexpr Milliseconds kMaxInterval{2000};

  explicit StoreRetry(Random* random) : m_random(random) {}

  // Sets the number of instances in the fleet.
  void SetInstances(int instances) { m_instances = instances; }
  // Returns a random delay of up to `per_instance` for each instance, but not above `max`. Spreads
  // calls that all instances make for the same reason.
  Milliseconds Spread(Milliseconds per_instance, Milliseconds max) {
    const Milliseconds range = std::min(max, m_instances * per_instance);
    return Milliseconds(
        static_cast<int64_t>(m_random->Unit() * static_cast<double>(range.count())));
  }
  // Returns the delay before the next attempt: 75 % to 125 % of the interval for the fleet size.
  Milliseconds NextDelay() {
    const Milliseconds interval =
        std::clamp(m_instances * kIntervalPerInstance, kMinInterval, kMaxInterval);
    const double factor = 0.75 + 0.5 * m_random->Unit();
    return Milliseconds(static_cast<int64_t>(factor * static_cast<double>(interval.count())));
  }

 private:
  Random* const m_random;
  int m_instances = 1;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_STORE_RETRY_H_
