// Times for which entries, lists and keys stay in use after the store has dropped them. All of them
// are computed here, so that their sums can be checked against the bounds that the platform sets;
// docs/design/removal-bounds.md lists them. No I/O.

#ifndef AZUREGW_SYNC_REMOVAL_BOUNDS_H_
#define AZUREGW_SYNC_REMOVAL_BOUNDS_H_

#include "azuregw/base/clock.h"

namespace azuregw {

// Bounds that the platform sets, and what they depend on.
struct RemovalSettings {
  // Time after the removal of an upstream's entry from which it must get no new requests.
  Milliseconds leaving_bound{2000};
  // Interval at which upstreams write their entries.
  Milliseconds heartbeat{1200};
  // Time after the removal of an API key from which it must be refused; 0 means no bound.
  Milliseconds key_removal_bound{0};
};

// How an instance learns that an entry was removed.
enum class RemovalPath {
  kOwnReads,         // It reads the list itself, as the leader or without one.
  kLeaderLost,       // It counts on the list of a leader that is gone, then reads the list itself.
  kExpiredTogether,  // It reads the list, and so many entries are missing that they are retained.
};

// Computes the times from the settings. Immutable.
class RemovalBounds {
 public:
  // Heartbeats without which the store drops an entry.
  static constexpr int kMissedHeartbeats = 3;
  // Time after the return of the store in which the platform guarantees that the entries of live
  // upstreams are back.
  static constexpr Milliseconds kRelistGrace{2000};
  // Interval at which the age of a relayed list is checked.
  static constexpr Milliseconds kRelayCheckInterval{100};
  // Smallest leaving bound that is kept.
  static constexpr Milliseconds kMinLeavingBound{500};

  explicit RemovalBounds(const RemovalSettings& settings) : m_settings(settings) {}

  Milliseconds LeavingBound() const { return m_settings.leaving_bound; }
  // Returns the interval between an answer of the store and the next call for the list.
  Milliseconds ListInterval(bool relaying) const;
  // Returns the age up to which a relayed list replaces own calls to the store.
  Milliseconds MaxRelayedListAge() const;
  // Returns the duration of a call for the list with which the leaving bound is kept.
  Milliseconds CallAllowance() const;
  // Returns the shortest outage of the store in which the entry of a live upstream can expire.
  Milliseconds MinExpiringOutage() const;
  // Returns the time after the first sign of a restore in which a list may contain entries of the
  // copy whose upstreams no longer write.
  Milliseconds CopiedEntryTtl() const;
  // Returns the end of the retention of entries that are missing at `now` after the store was
  // unavailable or restored.
  TimePoint RetainAfterOutage(TimePoint now) const { return now + kRelistGrace; }
  // Returns the end of the retention of entries that are missing together with many others while no
  // call to the store failed. They were last listed at `listed`, the list that lacks them matched
  // the store at `confirmed`.
  TimePoint RetainExpiredTogether(TimePoint listed, TimePoint confirmed, TimePoint now) const;
  // Returns the age of the configuration up to which API keys are accepted; 0 means no limit.
  Milliseconds MaxKeyAge() const;

  // Returns the longest time from the removal of an entry to the last request that an instance
  // sends there because it did not know, if the store answers within CallAllowance().
  Milliseconds LongestUse(RemovalPath path) const;

 private:
  // Returns the part of the leaving bound that is left for an own call after a relayed list.
  Milliseconds OwnCallMargin() const;

  RemovalSettings m_settings;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_REMOVAL_BOUNDS_H_
