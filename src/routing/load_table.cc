// Load estimates of engines.

#include "azuregw/routing/load_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace azuregw {
namespace {

constexpr int64_t kSlotNs = 100'000'000;
// Reports younger than kFresh count in full; at kExpired they no longer count.
constexpr double kFreshNs = 3e9;
constexpr double kExpiredNs = 30e9;
// All instances act on equally old reports. Without smoothing, they fill and avoid the same engines
// in turn; see docs/routing.md.
constexpr double kSmoothingNs = 20e9;

int64_t Nanoseconds(TimePoint time) { return time.time_since_epoch().count(); }

uint32_t SlotNumber(TimePoint time) { return static_cast<uint32_t>(Nanoseconds(time) / kSlotNs); }

}  // namespace

void LoadEstimator::OnStart(TimePoint now) { Remember(now, m_local.fetch_add(1) + 1); }

void LoadEstimator::OnEnd(TimePoint now) {
  const int before = m_local.fetch_sub(1);
  assert(before > 0);
  Remember(now, before - 1);
}

void LoadEstimator::OnReport(const EngineLoad& load, TimePoint now) {
  const TimePoint made = now - load.age;
  if (Nanoseconds(made) < m_report_ns.load(std::memory_order_relaxed)) {
    return;  // Reports of steps to one engine can arrive out of order.
  }
  const int total = load.running + load.waiting;
  m_total.store(total, std::memory_order_relaxed);
  const double others = std::max(0, total - LocalAt(made));
  m_last_others.store(others, std::memory_order_relaxed);
  const double before = m_others.load(std::memory_order_relaxed);
  const double passed_ns =
      static_cast<double>(Nanoseconds(made) - m_report_ns.load(std::memory_order_relaxed));
  const double weight = before < 0 ? 1.0 : 1.0 - std::exp(-passed_ns / kSmoothingNs);
  m_others.store(before + weight * (others - before), std::memory_order_relaxed);
  m_report_ns.store(Nanoseconds(made), std::memory_order_relaxed);
}

double LoadEstimator::Sequences(TimePoint now, double unknown) const {
  return Combine(m_others.load(std::memory_order_relaxed), now, unknown);
}

double LoadEstimator::UnsmoothedSequences(TimePoint now, double unknown) const {
  return Combine(m_last_others.load(std::memory_order_relaxed), now, unknown);
}

double LoadEstimator::Combine(double others, TimePoint now, double unknown) const {
  const double local = LocalInflight();
  if (others < 0) {
    return local + unknown;
  }
  const double age_ns =
      static_cast<double>(Nanoseconds(now) - m_report_ns.load(std::memory_order_relaxed));
  const double trust = std::clamp((kExpiredNs - age_ns) / (kExpiredNs - kFreshNs), 0.0, 1.0);
  return local + trust * others + (1.0 - trust) * unknown;
}

double LoadEstimator::Reported(double unknown) const {
  const double total = m_total.load(std::memory_order_relaxed);
  return total < 0 ? unknown : total;
}

void LoadEstimator::Remember(TimePoint now, int local) {
  const uint32_t slot = SlotNumber(now);
  const uint64_t entry = (static_cast<uint64_t>(slot) << 32) | static_cast<uint32_t>(local);
  m_history[slot % kHistorySlots].store(entry, std::memory_order_relaxed);
}

int LoadEstimator::LocalAt(TimePoint when) const {
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
