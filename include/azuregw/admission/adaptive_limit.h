// Concurrency limit for one target, adapted to the measured first-result latency.

#ifndef AZUREGW_ADMISSION_ADAPTIVE_LIMIT_H_
#define AZUREGW_ADMISSION_ADAPTIVE_LIMIT_H_

#include "azuregw/base/clock.h"

namespace azuregw {

// Tuning of an AdaptiveLimit.
struct AdaptiveLimitOptions {
  // Ratio of the latency to the baseline (latency without load) above which the limit decreases.
  double tolerance = 2.0;
  Milliseconds window{500};  // Minimum time between two adjustments.
  int window_samples = 10;   // Minimum results between two adjustments.
  // Lower bound of the factor applied by one decrease.
  double min_decrease_factor = 0.7;
  // Increase per window, as a fraction of this instance's even share of the capacity.
  double growth = 0.05;
};

// Additive-increase, multiplicative-decrease (AIMD) limit on the requests that this instance runs
// at one target. All instances add the same amount and decrease by the same factor at the same
// latency, so the limits of instances that share upstreams converge to equal shares without
// communication. Not thread-safe.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(const AdaptiveLimitOptions& options = AdaptiveLimitOptions())
      : m_options(options) {}

  // Sets the number of concurrent requests that the upstreams can run for all instances together,
  // which is the upper bound of the limit, and the number of live instances. The first call sets
  // the limit to an even share; later calls keep the ratio of the limit to the share.
  void SetCapacity(double capacity, int instances);

  // Records the latency of one first result. `inflight` is the number of requests in progress,
  // including this one.
  void OnResult(Milliseconds latency, int inflight, TimePoint now);
  // Decreases the limit because upstreams were overloaded, at most once per window.
  void OnOverload(int inflight, TimePoint now);

  // Returns the number of requests that may be in progress.
  int Limit() const { return static_cast<int>(m_limit); }
  // Returns the latency without load, in ms; 0 before the first window.
  double BaselineMs() const { return m_baseline_ms; }

 private:
  void CloseWindow(int inflight, TimePoint now);
  void Decrease(double factor, int inflight);

  const AdaptiveLimitOptions m_options;
  double m_max_limit = 1;   // Capacity of the upstreams; at least 1.
  double m_even_share = 1;  // m_max_limit divided by the number of instances; at least 1.
  double m_limit = 0;       // 0 until SetCapacity; then in [1, m_max_limit].
  double m_baseline_ms = 0;
  TimePoint m_window_start;
  TimePoint m_last_overload;
  int m_samples = 0;
  double m_sum_ms = 0;
  int m_peak_inflight = 0;  // Maximum inflight count in the current window.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_ADAPTIVE_LIMIT_H_
