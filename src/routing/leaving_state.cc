// Leaving state of engines.

#include "azuregw/routing/chain_planner.h"

namespace azuregw {
namespace {

// Lifetime of a refusal that no load report confirms or clears.
constexpr int64_t kRefusalExpiryNs = 60'000'000'000;

}  // namespace

void LeavingState::OnRefusal(TimePoint now) {
  m_refused_ns.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

bool LeavingState::OnReport(bool leaving, TimePoint measured_at) {
  if (leaving) {
    OnRefusal(measured_at);
    return false;
  }
  // A report measured before the refusal cannot clear it.
  const int64_t refused_ns = m_refused_ns.load(std::memory_order_relaxed);
  if (refused_ns == 0 || measured_at.time_since_epoch().count() <= refused_ns) {
    return false;
  }
  m_refused_ns.store(0, std::memory_order_relaxed);
  return true;
}

bool LeavingState::OnSnapshot(bool leaving) {
  const bool before = m_snapshot_leaving.exchange(leaving, std::memory_order_relaxed);
  return before && !leaving;
}

bool LeavingState::IsLeaving(TimePoint now) const {
  if (m_snapshot_leaving.load(std::memory_order_relaxed)) {
    return true;
  }
  const int64_t refused_ns = m_refused_ns.load(std::memory_order_relaxed);
  return refused_ns != 0 && now.time_since_epoch().count() - refused_ns < kRefusalExpiryNs;
}

}  // namespace azuregw
