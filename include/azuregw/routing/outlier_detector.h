// Ejects engines that fail repeatedly or are much slower than their peers.

#ifndef AZUREGW_ROUTING_OUTLIER_DETECTOR_H_
#define AZUREGW_ROUTING_OUTLIER_DETECTOR_H_

#include <atomic>
#include <cstdint>
#include <gsl/span>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// Health of one engine as this instance measured it. Thread-safe.
class EngineHealth {
 public:
  // A step succeeded with this latency per token.
  void OnSuccess(double ms_per_token, TimePoint now);
  // The engine did not answer, or its answer was unusable.
  void OnFailure(TimePoint now);

  int ConsecutiveFailures() const { return m_failures.load(std::memory_order_relaxed); }
  // Moving average of the latency per token; 0 without samples.
  double LatencyMs() const { return m_latency_ms.load(std::memory_order_relaxed); }
  bool Ejected(TimePoint now) const;

  // How far measurements count, from 1 (fresh) to 0. An engine that receives no sequences is not
  // measured, so what is known about it fades, and it is tried again.
  double Freshness(TimePoint now) const;

 private:
  friend class OutlierDetector;

  std::atomic<int> m_failures{0};  // Since the last success.
  std::atomic<double> m_latency_ms{0.0};
  std::atomic<int> m_samples{0};  // Since the last ejection.
  std::atomic<int64_t> m_measured_ns{0};
  std::atomic<int64_t> m_ejected_until_ns{0};
  std::atomic<int> m_ejections{0};  // Recent ejections; doubles the next one.
};

struct OutlierOptions {
  int failures = 3;             // Consecutive failures that eject.
  double latency_factor = 3.0;  // Multiple of the median of the peers that ejects.
  int min_samples = 10;         // Successes before a latency counts.
  int min_peers = 3;            // Engines of the same kind with a latency, before medians count.
  double max_ejected_share = 0.5;
  Milliseconds base_duration{10000};
  Milliseconds max_duration{300000};
};

// One engine of a range, as the detector sees it.
struct OutlierPeer {
  EngineHealth* health = nullptr;
  int kind = 0;        // Peers are compared with engines of the same kind only.
  double link_ms = 0;  // Largest part of the latency that a link can explain.
};

class OutlierDetector {
 public:
  explicit OutlierDetector(const OutlierOptions& options = OutlierOptions());

  // Ejects outliers among the engines of one range. At least one engine, and at least the share
  // 1 - max_ejected_share, stays. Returns the indices of the engines ejected now, and when each
  // ejection ends. Calls for one range must not overlap.
  struct Ejection {
    size_t index = 0;
    TimePoint until;
  };
  std::vector<Ejection> Evaluate(gsl::span<const OutlierPeer> peers, TimePoint now) const;

 private:
  bool IsOutlier(const OutlierPeer& peer, gsl::span<const OutlierPeer> peers) const;
  TimePoint Eject(EngineHealth* health, TimePoint now) const;

  const OutlierOptions m_options;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_OUTLIER_DETECTOR_H_
