// Detects and ejects engines that fail repeatedly or are much slower than their peers.

#ifndef AZUREGW_ROUTING_OUTLIER_DETECTOR_H_
#define AZUREGW_ROUTING_OUTLIER_DETECTOR_H_

#include <atomic>
#include <cstdint>
#include <gsl/span>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// Tracks failures, latency and ejection of one engine as measured by this instance. Thread-safe.
class EngineHealth {
 public:
  // Records a successful step with its latency per token.
  void OnSuccess(double ms_per_token, TimePoint now);
  // Records a step without an answer or with an unusable one.
  void OnFailure(TimePoint now);

  // Returns the number of failures since the last success.
  int ConsecutiveFailures() const { return m_consecutive_failures.load(std::memory_order_relaxed); }
  // Returns the moving average of the latency per token in ms; 0 without samples.
  double LatencyMs() const { return m_latency_ms.load(std::memory_order_relaxed); }
  // Returns whether the engine is ejected at `now`.
  bool IsEjected(TimePoint now) const;

  // Returns the weight of the measurements, which decays from 1 (fresh) to 0. An engine without
  // sequences produces no measurements; the decay lets it be selected again.
  double Freshness(TimePoint now) const;

 private:
  friend class OutlierDetector;

  std::atomic<int> m_consecutive_failures{0};  // Failures since the last success.
  std::atomic<double> m_latency_ms{0.0};       // Moving average per token; 0 without samples.
  std::atomic<int> m_samples{0};               // Successes since the last ejection.
  std::atomic<int64_t> m_measured_ns{0};       // Time of the last success or failure.
  std::atomic<int64_t> m_ejected_until_ns{0};  // End of the latest ejection; 0 if none.
  std::atomic<int> m_ejections{0};  // Recent ejections; each doubles the duration of the next one.
};

// Thresholds and durations of outlier ejection.
struct OutlierOptions {
  int failure_threshold = 3;    // Consecutive failures that cause ejection.
  double latency_factor = 3.0;  // Multiple of the peers' median latency that causes ejection.
  int min_samples = 10;         // Successes required before an engine's latency is compared.
  int min_peers = 3;            // Engines of one kind with a known latency, required for a median.
  double max_ejected_share = 0.5;          // Largest share of a range's engines ejected at a time.
  Milliseconds base_ejection_time{10000};  // Duration of a first ejection.
  Milliseconds max_ejection_time{300000};  // Limit of the doubled durations.
};

// Input of the detector for one engine of a range.
struct OutlierPeer {
  EngineHealth* health = nullptr;
  int kind = 0;        // Accelerator kind; latencies are compared within a kind only.
  double link_ms = 0;  // Largest link share of the latency; added to the threshold.
};

// Compares the engines of one range and ejects outliers for a limited time.
class OutlierDetector {
 public:
  explicit OutlierDetector(const OutlierOptions& options = OutlierOptions());

  // An ejection decided by Evaluate.
  struct Ejection {
    size_t index = 0;  // Index into the evaluated peers.
    TimePoint until;   // End of the ejection.
  };
  // Ejects outliers among the engines of one range and returns the new ejections. At least one
  // engine, and at least the share 1 - max_ejected_share, stays. Calls for one range must not
  // overlap.
  std::vector<Ejection> Evaluate(gsl::span<const OutlierPeer> peers, TimePoint now) const;

 private:
  // Returns whether `peer` exceeds the failure or latency threshold.
  bool IsOutlier(const OutlierPeer& peer, gsl::span<const OutlierPeer> peers) const;
  // Ejects the engine and returns the end of the ejection.
  TimePoint Eject(EngineHealth* health, TimePoint now) const;

  const OutlierOptions m_options;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_OUTLIER_DETECTOR_H_
