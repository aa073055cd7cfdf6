// Expected load per engine, from lagging reports combined with this instance's own in-flight count.

#ifndef AZUREGW_ROUTING_LOAD_TABLE_H_
#define AZUREGW_ROUTING_LOAD_TABLE_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "azuregw/base/clock.h"
#include "azuregw/engine/engine_client.h"

namespace azuregw {

// The load of one engine. Thread-safe; reads take no lock.
//
// A report counts the sequences of all instances at the time it was made. The estimator remembers
// how many of them were this instance's own at that time, and replaces that part by the current
// local count. The part of other instances is smoothed, and loses weight with age, because nothing
// newer is known.
class LoadEstimator {
 public:
  void OnStart(TimePoint now);
  void OnEnd(TimePoint now);
  void OnReport(const EngineLoad& load, TimePoint now);

  int LocalInflight() const { return m_local.load(std::memory_order_relaxed); }

  // Sequences at the engine, running and waiting. `unknown` stands for the sequences of other
  // instances when there is no recent report.
  double Sequences(TimePoint now, double unknown) const;

  // The same without smoothing.
  double UnsmoothedSequences(TimePoint now, double unknown) const;

  // Sequences of all instances in the last report; `unknown` without one.
  double Reported(double unknown) const;

 private:
  static constexpr int kHistorySlots = 32;

  void Remember(TimePoint now, int local);
  int LocalAt(TimePoint when) const;
  double Combine(double others, TimePoint now, double unknown) const;

  std::atomic<int> m_local{0};
  // Smoothed sequences of other instances; negative when there was no report.
  std::atomic<double> m_others{-1.0};
  std::atomic<double> m_last_others{-1.0};  // The same without smoothing.
  std::atomic<double> m_total{-1.0};        // Sequences of all instances in the last report.
  std::atomic<int64_t> m_report_ns{0};      // When the last report was made, not received.
  // Local count at the end of recent time slots: slot number in the high half, count in the low
  // half.
  std::array<std::atomic<uint64_t>, kHistorySlots> m_history{};
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_LOAD_TABLE_H_
