// Leader lease: a key in the store, bound to a lease, that at most one instance holds at a time.
//
// The leader's fencing token orders by the era of the store, then by the revision of the key that
// the leader created, so that each later leader has a higher token. Each era has a key of its own:
// keys, revisions and lease IDs of a copy say nothing about the present. An instance that finds the
// key with its own name and address, left behind by its previous process, replaces it without
// waiting for the lease to expire. A leader that cannot renew the lease in time steps down before
// the store expires it, also after the machine was suspended.

#ifndef AZUREGW_PLACEMENT_LEADER_LEASE_H_
#define AZUREGW_PLACEMENT_LEADER_LEASE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "azuregw/base/event_loop.h"
#include "azuregw/base/random.h"
#include "azuregw/kv/async_key_value_store.h"
#include "azuregw/logging/event_log.h"

namespace azuregw {

// Returns the fencing token of a key with `revision` in `era`. It fits into 53 bits, so that JSON
// numbers hold it, for 2^40 revisions and 2^13 restores.
uint64_t MakeFencingToken(uint64_t era, uint64_t revision);

// Competes for the leader lease, renews it and tells who the leader is. Runs on the event loop.
class LeaderLease {
 public:
  // Time to live of the lease in the store.
  static constexpr Milliseconds kTtl{3000};
  // Interval at which the leader renews the lease.
  static constexpr Milliseconds kRenewInterval{900};
  // Interval at which followers check whether the lease is free, with one bounded-staleness read
  // each.
  static constexpr Milliseconds kLeaderPollInterval{1000};
  // Maximum random delay before an instance tries to acquire a free lease.
  static constexpr Milliseconds kMaxAcquireJitter{400};
  // Maximum additional delay of instances with little CPU time, until all others have polled, too.
  // The leader reads the store for all instances and is connected to all of them.
  static constexpr Milliseconds kMaxLowCpuDelay{1400};
  // Maximum additional delay while the CPU shares of the other instances are unknown; instances
  // that start together poll at the same time.
  static constexpr Milliseconds kMaxLowCpuStartupDelay{600};
  // CPU share, in cores, that needs no additional delay while those of the others are unknown.
  static constexpr double kAmpleCpuShare = 0.5;
  // Margin before the earliest expiry in the store at which the leader steps down.
  static constexpr Milliseconds kExpiryMargin{400};

  // Creates a lease on `key`. `value` is stored under the key for the other instances, such as the
  // leader's address. All pointers must outlive the object.
  LeaderLease(EventLoop* loop, AsyncKeyValueStore* store, Random* random, EventLog* log,
              std::string key, std::string value)
      : m_loop(loop),
        m_store(store),
        m_random(random),
        m_log(log),
        m_key(std::move(key)),
        m_own_value(std::move(value)) {}

  // Begins to poll and to compete for the lease.
  void Start();
  // Sets the CPU share of this instance and the largest one of any instance, if known, in cores.
  void SetCpuShares(double own, std::optional<double> fleet_max);
  // Called for each message from the leader; postpones the next poll.
  void OnLeaderMessage() { m_last_leader_message = m_loop->Now(); }
  // Polls immediately, for example after the connection to the leader was lost.
  void PollNow();
  // Releases the lease and stops competing for it.
  void Stop();
  // Gives up leadership, for example after another leader was seen, and competes again later.
  void StepDown(const std::string& reason);
  // Returns whether no other leader has been seen since this instance was the leader. It may then
  // continue to serve operations that need no fencing, also while the store is unreachable.
  bool IsLastKnownLeader() const { return m_last_known_leader; }
  // Returns whether this instance is the leader.
  bool Held() const { return m_fencing_token != 0 && m_loop->Now() < m_valid_until; }
  // Returns the fencing token of the last acquired lease, 0 after it was given up.
  uint64_t FencingToken() const { return m_fencing_token; }
  // Returns the value that the current leader stored; empty if there is no known leader.
  const std::string& LeaderValue() const { return m_leader_value; }

 private:
  // Returns the key of the current era.
  std::string Key() const;
  // Gives the lease up, and takes it again at once if this instance was the last leader.
  void OnStoreRestored();
  // Returns the time before which a free lease must not be acquired, because a leader of the era
  // before may still count on its own.
  TimePoint EarliestAcquisition() const;
  // Reads the key and acquires the lease if it is free or was left behind by the previous process.
  void Poll();
  // Records the leader that holds the key, and polls again later.
  void OnLeaderSeen(const KvEntry& entry);
  // Confirms with a linearizable read that the key can be taken, then requests a lease.
  void Acquire();
  // `replaced_revision`: revision of the key to replace; 0 if the key must not exist.
  void RequestLease(uint64_t replaced_revision);
  // Writes the key under the lease; reads it back if the outcome is unknown.
  void CreateKey(uint64_t lease_id, uint64_t replaced_revision, TimePoint requested_at);
  // Starts the leadership. The lease is valid from `requested_at`; `revision` is that of the key.
  void BecomeLeader(uint64_t lease_id, uint64_t revision, TimePoint requested_at);
  // Renews the lease, or steps down if it is too late.
  void Renew();
  // Ends the leadership, logs `reason` and polls again later.
  void LoseLease(const std::string& reason);
  // Replaces the pending timer by one that runs `step` after `delay`.
  void Schedule(Milliseconds delay, void (LeaderLease::*step)());

  EventLoop* const m_loop;
  AsyncKeyValueStore* const m_store;
  Random* const m_random;
  EventLog* const m_log;
  const std::string m_key;  // Of the first era; see Key().
  const std::string m_own_value;
  bool m_stopped = false;
  uint64_t m_generation = 0;         // Increases with each restore; earlier calls are ignored.
  uint64_t m_lease_id = 0;           // ID of the lease in the store.
  uint64_t m_fencing_token = 0;      // 0 if the lease is not held.
  TimePoint m_valid_until;           // Time at which this instance steps down unless it renews.
  bool m_last_known_leader = false;  // See IsLastKnownLeader().
  std::string m_leader_value;        // Value stored by the current leader.
  std::optional<TimePoint> m_last_leader_message;
  Milliseconds m_acquire_delay{0};  // Delay before acquiring a free lease, from the CPU share.
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_LEADER_LEASE_H_
