// Leaving marks of engines.

#include "azuregw/routing/chain_planner.h"

namespace azuregw {
namespace {

constexpr int64_t kLapseNs = 60'000'000'000;

}  // namespace

void LeavingMark::OnRefusal(TimePoint now) {
  m_refused_ns.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

bool LeavingMark::OnReport(bool leaving, TimePoint made) {
  if (leaving) {
    OnRefusal(made);
    return false;
  }
  // A report made before the refusal says nothing about it.
  const int64_t refused = m_refused_ns.load(std::memory_order_relaxed);
  if (refused == 0 || made.time_since_epoch().count() <= refused) {
    return false;
  }
  m_refused_ns.store(0, std::memory_order_relaxed);
  return true;
}

bool LeavingMark::OnSnapshot(bool leaving) {
  const bool before = m_listed.exchange(leaving, std::memory_order_relaxed);
  return before && !leaving;
}

bool LeavingMark::Leaving(TimePoint now) const {
  if (m_listed.load(std::memory_order_relaxed)) {
    return true;
  }
  const int64_t refused = m_refused_ns.load(std::memory_order_relaxed);
  return refused != 0 && now.time_since_epoch().count() - refused < kLapseNs;
}

}  // namespace azuregw
