// Lease on the planner key of the key-value service, with its fencing token.

#ifndef AZUREGW_SRC_PLANNER_PLANNER_LEASE_H_
#define AZUREGW_SRC_PLANNER_PLANNER_LEASE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "azuregw/base/clock.h"
#include "azuregw/kv/key_value_store.h"

namespace azuregw {

// Selects the instance that plans engine orders. A paused holder can lose the lease without its
// knowledge; Confirm detects that. Calls block; not thread-safe. The store and the clock must
// outlive the lease.
class PlannerLease {
 public:
  PlannerLease(std::string instance, Milliseconds ttl, KeyValueStore* kv, const Clock* clock)
      : m_instance(std::move(instance)), m_ttl(ttl), m_kv(kv), m_clock(clock) {}

  // Writes this instance into the planner key if the key is free. Returns whether the lease is
  // held.
  bool TryAcquire();
  // Renews the lease if a third of its TTL has elapsed. Returns whether the lease is held.
  bool RenewIfDue();
  // Renews the lease. Returns true only if the key-value service confirms that the lease is held.
  bool Confirm();
  // Treats the lease as lost, without a call to the key-value service.
  void Drop();

  // Returns the revision of the planner key under this lease; 0 if the lease is not held.
  uint64_t Fencing() const { return m_fencing; }

 private:
  const std::string m_instance;
  const Milliseconds m_ttl;
  KeyValueStore* const m_kv;
  const Clock* const m_clock;
  std::string m_lease;       // ID of the lease; empty if not held.
  uint64_t m_fencing = 0;    // 0 if the lease is not held.
  TimePoint m_renewed_at{};  // Start of the last call that renewed the lease.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_PLANNER_PLANNER_LEASE_H_
