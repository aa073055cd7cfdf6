// The planner's lease and its fencing number.

#ifndef AZUREGW_SRC_PLANNER_PLANNER_LEASE_H_
#define AZUREGW_SRC_PLANNER_PLANNER_LEASE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "azuregw/base/clock.h"
#include "azuregw/kv/key_value_store.h"

namespace azuregw {

class PlannerLease {
 public:
  PlannerLease(std::string instance, Milliseconds ttl, KeyValueStore* kv, const Clock* clock)
      : m_instance(std::move(instance)), m_ttl(ttl), m_kv(kv), m_clock(clock) {}

  // Puts this instance into the planner key if it is free. Returns whether the lease is held.
  bool TryAcquire();
  // Renews when a third of the time has passed. Returns whether the lease is held.
  bool Keep();
  // Asks the service whether the lease is held at this moment.
  bool Confirm();
  void Drop();

  // Revision of the planner key under this lease; 0 when the lease is not held.
  uint64_t Fencing() const { return m_fencing; }

 private:
  const std::string m_instance;
  const Milliseconds m_ttl;
  KeyValueStore* const m_kv;
  const Clock* const m_clock;
  std::string m_lease;
  uint64_t m_fencing = 0;
  TimePoint m_renewed_at{};  // Start of the last call that renewed the lease.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_PLANNER_PLANNER_LEASE_H_
