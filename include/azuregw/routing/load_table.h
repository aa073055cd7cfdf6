// Estimates an engine's load from delayed load reports and this instance's in-flight count.

#ifndef AZUREGW_ROUTING_LOAD_TABLE_H_
#define AZUREGW_ROUTING_LOAD_TABLE_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "azuregw/base/clock.h"
#include "azuregw/engine/engine_client.h"

namespace azuregw {

// Estimates the number of sequences at one engine. Thread-safe; reads take no lock.
//
// A load report counts the sequences of all instances at the time of measurement. The estimator
// subtracts this instance's own sequences at that time and adds its current in-flight count. The
// remainder, the sequences of other instances, is smoothed, and its weight decreases with the age
// of the report.
class LoadEstimator {
 public:
  // Counts a sequence of this instance that starts or stops occupying the engine.
  void OnStart(TimePoint now);
  void OnEnd(TimePoint now);
  // Applies a load report that was received at `now`; ignores one measured before the last one.
  void OnReport(const EngineLoad& load, TimePoint now);

  // Returns the number of sequences of this instance at the engine.
  int LocalInflight() const { return m_local_inflight.load(std::memory_order_relaxed); }

  // Returns the estimated number of running and waiting sequences at the engine. `assumed` replaces
  // the sequences of other instances as the last report expires, or if there is none.
  double Sequences(TimePoint now, double assumed) const;

  // Returns the estimate of Sequences() based on the last report without smoothing.
  double UnsmoothedSequences(TimePoint now, double assumed) const;

  // Returns the sequences of all instances in the last report, or `assumed` without a report.
  double ReportedSequences(double assumed) const;

 private:
  static constexpr int kHistorySlots = 32;

  // Stores the local count in the slot of `now`.
  void RecordLocal(TimePoint now, int local);
  // Returns the local count at `when`, as far as the history reaches.
  int LocalInflightAt(TimePoint when) const;
  // Adds the local count to `remote`, weighted against `assumed` by the age of the last report.
  double EstimateSequences(double remote, TimePoint now, double assumed) const;

  std::atomic<int> m_local_inflight{0};  // Sequences of this instance.
  // Smoothed sequences of other instances; negative before the first report.
  std::atomic<double> m_remote_smoothed{-1.0};
  std::atomic<double> m_remote_latest{-1.0};   // Sequences of other instances in the last report.
  std::atomic<double> m_reported_total{-1.0};  // Sequences of all instances in the last report.
  std::atomic<int64_t> m_report_ns{0};         // Measurement time of the last report.
  // Local count at the end of each recent time slot: slot number in the upper 32 bits, count in the
  // lower 32 bits.
  std::array<std::atomic<uint64_t>, kHistorySlots> m_history{};
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_LOAD_TABLE_H_
