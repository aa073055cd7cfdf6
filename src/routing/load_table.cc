// Load estimation from reports and local in-flight counts.

#include "azuregw/routing/load_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace azuregw {
namespace {

// Duration of a slot of the local count's history.
constexpr int64_t kHistorySlotNs = 100'000'000;
// Report ages: full weight up to kFreshNs, decreasing linearly to zero at kExpiredNs.
constexpr double kFreshNs = 3e9;
constexpr double kExpiredNs = 30e9;
// Time constant of the smoothing. All instances act on reports of the same age; without smoothing,
// they overload and avoid the same engines in turn. See docs/routing.md.
constexpr double kSmoothingNs = 20e9;

int64_t Nanoseconds(TimePoint time) { return time.time_since_epoch().count(); }

uint32_t SlotNumber(TimePoint time) {
  return static_cast<uint32_t>(Nanoseconds(time) / kHistorySlotNs);
}

}  // namespace

void LoadEstimator::OnStart(TimePoint now) { RecordLocal(now, m_local_inflight.fetch_add(1) + 1); }

void LoadEstimator::OnEnd(TimePoint now) {
  const int before = m_local_inflight.fetch_sub(1);
  assert(before > 0);
  RecordLocal(now, before - 1);
}

void LoadEstimator::OnReport(const EngineLoad& load, TimePoint now) {
  const TimePoint measured_at = now - load.age;
  if (Nanoseconds(measured_at) < m_report_ns.load(std::memory_order_relaxed)) {
    return;  // Reports of concurrent steps can arrive out of order.
  }
  const int total = load.running + load.waiting;
  m_reported_total.store(total, std::memory_order_relaxed);
  const double remote = std::max(0, total - LocalInflightAt(measured_at));
  m_remote_latest.store(remote, std::memory_order_relaxed);
  const double before = m_remote_smoothed.load(std::memory_order_relaxed);
  const double passed_ns =
      static_cast<double>(Nanoseconds(measured_at) - m_report_ns.load(std::memory_order_relaxed));
  const double weight = before < 0 ? 1.0 : 1.0 - std::exp(-passed_ns / kSmoothingNs);
  m_remote_smoothed.store(before + weight * (remote - before), std::memory_order_relaxed);
  m_report_ns.store(Nanoseconds(measured_at), std::memory_order_relaxed);
}

double LoadEstimator::Sequences(TimePoint now, double assumed) const {
  return EstimateSequences(m_remote_smoothed.load(std::memory_order_relaxed), now, assumed);
}

double LoadEstimator::UnsmoothedSequences(TimePoint now, double assumed) const {
  return EstimateSequences(m_remote_latest.load(std::memory_order_relaxed), now, assumed);
}

double LoadEstimator::EstimateSequences(double remote, TimePoint now, double assumed) const {
  const double local = LocalInflight();
  if (remote < 0) {
    return local + assumed;
  }
  const double age_ns =
      static_cast<double>(Nanoseconds(now) - m_report_ns.load(std::memory_order_relaxed));
  const double report_weight =
      std::clamp((kExpiredNs - age_ns) / (kExpiredNs - kFreshNs), 0.0, 1.0);
  return local + report_weight * remote + (1.0 - report_weight) * assumed;
}

double LoadEstimator::ReportedSequences(double assumed) const {
  const double total = m_reported_total.load(std::memory_order_relaxed);
  return total < 0 ? assumed : total;
}

void LoadEstimator::RecordLocal(TimePoint now, int local) {
  const uint32_t slot = SlotNumber(now);
  const uint64_t entry = (static_cast<uint64_t>(slot) << 32) | static_cast<uint32_t>(local);
  m_history[slot % kHistorySlots].store(entry, std::memory_order_relaxed);
}

int LoadEstimator::LocalInflightAt(TimePoint when) const {
  const uint32_t wanted = SlotNumber(when);
  uint64_t latest = 0;
  bool newer = false;
  for (const std::atomic<uint64_t>& slot : m_history) {
    const uint64_t entry = slot.load(std::memory_order_relaxed);
    if (entry == 0) {
      continue;
    }
    if ((entry >> 32) <= wanted) {
      latest = std::max(latest, entry);
    } else {
      newer = true;
    }
  }
  if (latest == 0) {
    return newer ? 0 : LocalInflight();
  }
  return static_cast<int>(latest & 0xffffffffU);
}

}  // namespace azuregw
