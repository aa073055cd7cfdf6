// A limit on concurrent requests to one target that follows the measured first-result latency.

#ifndef AZUREGW_ADMISSION_ADAPTIVE_LIMIT_H_
#define AZUREGW_ADMISSION_ADAPTIVE_LIMIT_H_

#include "azuregw/base/clock.h"

namespace azuregw {

struct AdaptiveLimitOptions {
  // Latency relative to the latency without load at which the limit stops growing.
  double tolerance = 2.0;
  Milliseconds window{500};  // Time between two changes, at least.
  int window_samples = 10;   // Results between two changes, at least.
  double largest_decrease = 0.7;
  // Growth per window, as a share of this instance's even share of the capacity.
  double growth = 0.05;
};

// Additive increase, multiplicative decrease. Every instance adds the same amount and takes away
// the same share under the same latency, so the limits of instances that share upstreams converge
// towards equal parts without any message between them. Not thread-safe.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(const AdaptiveLimitOptions& options = AdaptiveLimitOptions())
      : m_options(options) {}

  // `capacity`: concurrent requests that the upstreams can run for all instances, the upper bound.
  // `instances`: live instances. The first call starts the limit at an even share; later calls keep
  // its ratio to the share.
  void SetCapacity(double capacity, int instances);

  // `inflight` counts the requests in progress, with this one.
  void OnResult(Milliseconds latency, int inflight, TimePoint now);
  // Upstreams were overloaded; counts as a window with too high a latency.
  void OnOverload(int inflight, TimePoint now);

  int Limit() const { return static_cast<int>(m_limit); }
  double BaselineMs() const { return m_baseline_ms; }  // 0 before the first window.

 private:
  void CloseWindow(int inflight, TimePoint now);
  void Decrease(double factor, int inflight);

  const AdaptiveLimitOptions m_options;
  double m_bound = 1;
  double m_share = 1;
  double m_limit = 0;  // 0 until SetCapacity; then in [1, m_bound].
  double m_baseline_ms = 0;
  TimePoint m_window_start;
  TimePoint m_last_overload;
  int m_samples = 0;
  double m_sum_ms = 0;
  int m_peak_inflight = 0;  // In the current window.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_ADAPTIVE_LIMIT_H_
