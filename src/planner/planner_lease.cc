// Acquisition and renewal of the planner lease.

#include "planner/planner_lease.h"

#include <optional>

#include "azuregw/base/random.h"

namespace azuregw {
namespace {

constexpr char kPlannerKey[] = "azuregw/planner";

}  // namespace

bool PlannerLease::TryAcquire() {
  Drop();
  const auto entry = m_kv->Get(kPlannerKey);
  if (!entry || entry.value()) {
    return false;
  }
  const TimePoint started = m_clock->Now();
  const Result<std::string> lease = m_kv->GrantLease(m_ttl);
  if (!lease) {
    return false;
  }
  const std::string value = m_instance + "/" + MakeUniqueId();
  const Result<uint64_t> swapped = m_kv->CompareAndSwap(kPlannerKey, 0, value, lease.value());
  if (swapped) {
    m_fencing = swapped.value();
  } else if (swapped.error().code == ResultCode::kKvOutcomeUnknown) {
    const auto found = m_kv->Get(kPlannerKey);
    if (found && found.value() && found.value()->value == value) {
      m_fencing = found.value()->revision;
    }
  }
  if (m_fencing == 0) {
    return false;
  }
  m_lease = lease.value();
  m_renewed_at = started;
  return true;
}

bool PlannerLease::RenewIfDue() {
  if (m_fencing == 0) {
    return false;
  }
  if (m_clock->Now() - m_renewed_at < m_ttl / 3) {
    return true;
  }
  const TimePoint started = m_clock->Now();
  const Result<void> renewed = m_kv->RenewLease(m_lease);
  if (renewed) {
    m_renewed_at = started;
    return true;
  }
  const bool lapsed =
      renewed.error().code == ResultCode::kLeaseLapsed || m_clock->Now() - m_renewed_at >= m_ttl;
  if (lapsed) {
    Drop();
  }
  return !lapsed;
}

bool PlannerLease::Confirm() {
  if (m_fencing == 0 || m_clock->Now() - m_renewed_at >= m_ttl) {
    Drop();
    return false;
  }
  const TimePoint started = m_clock->Now();
  const Result<void> renewed = m_kv->RenewLease(m_lease);
  if (renewed) {
    m_renewed_at = started;
    return true;
  }
  if (renewed.error().code == ResultCode::kLeaseLapsed) {
    Drop();
  }
  return false;
}

void PlannerLease::Drop() {
  m_fencing = 0;
  m_lease.clear();
}

}  // namespace azuregw
