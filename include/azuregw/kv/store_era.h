// Detects that the store was restored from a backup.
//
// The store counts its restores and states the count, its era, in every answer. After a restore the
// store lacks its latest writes and leases, and gives their revisions and lease IDs out again.
// Operators write what is missing again within kRewriteGrace, upstreams with their next heartbeats.
//
// Decision module: no I/O, single-threaded.

#ifndef AZUREGW_KV_STORE_ERA_H_
#define AZUREGW_KV_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

// How the answer to a call relates to restores of the store.
enum class EraVerdict {
  kCurrent,   // No restore between the call and its answer.
  kRestored,  // The store was restored after the call was sent, and answered it afterwards.
  kOutdated,  // The answer predates a restore that is known from a later answer.
};

// Calls to the store, by what their answers depend on.
enum class StoreCall {
  kRead,      // Nothing earlier.
  kNextPage,  // The pages before.
  kWatch,     // The revision from which it continues.
  kSwap,      // The revision that it replaces, and its lease.
  kGrant,     // Nothing earlier.
  kRenewal    // The ID of the lease.
};

// Returns the error that takes the place of an answer with `verdict`; nullopt if the answer is
// valid.
std::optional<Error> EraError(StoreCall call, EraVerdict verdict);

// Tracks the era of the store. One instance shares it between all calls to the store.
class StoreEra {
 public:
  // Era of a store that was never restored. Stores without eras state 0.
  static constexpr uint64_t kFirst = 1;

  // Time after a restore within which operators write again what the store lacks. Their tools do so
  // as soon as the store answers; this leaves time for a poll.
  static constexpr Milliseconds kRewriteGrace{1000};

  // `source` is "store" or "instance".
  using Listener = std::function<void(uint64_t previous, std::string_view source)>;

  // Records the era in the answer to a call that was sent while Current() was `sent`; 0 if the
  // answer states none.
  EraVerdict OnAnswer(uint64_t sent, uint64_t era, TimePoint now);

  // Records the era that another instance has seen; 0 if it knows none.
  void OnInstance(uint64_t era, TimePoint now) { Raise(era, "instance", now); }

  // Returns the highest era seen; 0 before the first.
  uint64_t Current() const { return m_current; }
  // Returns the number of restores that this process has noticed.
  uint64_t Restores() const { return m_restores; }
  // Returns the end of the time in which the store may lack what it had acknowledged before a
  // restore. A process that finds a later era than kFirst at its start cannot tell when it began.
  TimePoint UnsettledUntil() const {
    return m_noticed_at ? *m_noticed_at + kRewriteGrace : TimePoint();
  }
  // Returns the time at which this process noticed the current era, or nullopt if it is the first.
  std::optional<TimePoint> NoticedAt() const { return m_noticed_at; }
  // Adds a callback that runs when a restore is noticed, before the answer that shows it is used.
  void AddListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

 private:
  void Raise(uint64_t era, std::string_view source, TimePoint now);

  uint64_t m_current = 0;
  uint64_t m_restores = 0;
  std::optional<TimePoint> m_noticed_at;
  std::vector<Listener> m_listeners;
};

}  // namespace azuregw

#endif  // AZUREGW_KV_STORE_ERA_H_
