// A duty that one instance has at a time, held by a lease in the store.
//
// The holder's fencing token is the revision of the key that it created, so that a later holder's
// token is always higher. An instance that finds the duty under its own name and address, which a
// former process of it left, takes it over without waiting for the end of the lease. A holder that
// cannot renew in time stops by itself before the store ends the lease, also after the machine was
// suspended.

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

class LeaderLease {
 public:
  static constexpr Milliseconds kTtl{3000};
  static constexpr Milliseconds kRenewInterval{900};
  // How often others look whether the duty is free; one bounded read each time.
  static constexpr Milliseconds kLeaderPollInterval{1000};
  // Instances that see the duty free ask for it after a random share of this.
  static constexpr Milliseconds kMaxAcquireJitter{400};
  // The holder reads the store for all and talks to all, so instances with little processor time
  // wait up to this much longer: until all others have looked, too.
  static constexpr Milliseconds kMaxLowCpuDelay{1400};
  // The same while an instance does not know the others; those that start together look together.
  static constexpr Milliseconds kMaxLowCpuStartupDelay{600};
  // The processor time that is ample, in cores, while the others are not known.
  static constexpr double kAmpleCpuShare = 0.5;
  // Stops this long before the lease can end in the store.
  static constexpr Milliseconds kExpiryMargin{400};

  // `value` is stored with the duty for the others to read, such as the holder's address. All
  // pointers must outlive the lease.
  LeaderLease(EventLoop* loop, AsyncKeyValueStore* store, Random* random, EventLog* log,
              std::string key, std::string value)
      : m_loop(loop),
        m_store(store),
        m_random(random),
        m_log(log),
        m_key(std::move(key)),
        m_value(std::move(value)) {}

  void Start();
  // Processor time of this instance and, once known, the most of any instance, in cores.
  void SetCpuShares(double own, std::optional<double> most);
  // The holder was heard, so there is no need to look whether the duty is free.
  void OnLeaderMessage() { m_holder_heard = m_loop->Now(); }
  // The connection to the holder was lost.
  void PollNow();
  // Gives the duty up and does not ask for it again.
  void Stop();
  // Gives the duty up after another holder was met, and asks again later.
  void StepDown(const std::string& reason);
  // Whether no other instance has been seen with the duty since this one held it. It may then serve
  // the others with what needs no fencing, also while the store cannot be reached.
  bool IsLastKnownLeader() const { return m_last_holder; }
  bool Held() const { return m_token != 0 && m_loop->Now() < m_held_until; }
  uint64_t FencingToken() const { return m_token; }
  // What the present holder stored, as far as known; empty when there is none.
  const std::string& LeaderValue() const { return m_holder_value; }

 private:
  void Look();
  void Acquire();
  // `replaced`: revision of the key that this one replaces; 0: there must be none.
  void Grant(uint64_t replaced);
  void Create(uint64_t lease, uint64_t replaced, TimePoint granted);
  void Become(uint64_t lease, uint64_t token, TimePoint granted);
  void Renew();
  void Lose(const std::string& reason);
  void Later(Milliseconds delay, void (LeaderLease::*step)());

  EventLoop* const m_loop;
  AsyncKeyValueStore* const m_store;
  Random* const m_random;
  EventLog* const m_log;
  const std::string m_key;
  const std::string m_value;
  bool m_stopped = false;
  uint64_t m_lease = 0;
  uint64_t m_token = 0;  // 0: not held.
  TimePoint m_held_until;
  bool m_last_holder = false;
  std::string m_holder_value;
  std::optional<TimePoint> m_holder_heard;
  Milliseconds m_delay{0};  // Before it asks for a free duty.
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_LEADER_LEASE_H_
