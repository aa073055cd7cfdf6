// Decides whether entries that are missing from the upstream list may have expired because the
// store was unavailable, so that their upstreams may still live.
//
// Load patterns: the leader is lost while the store is sound, so that followers see a list that is
// older than usual, and an upstream that has left must not be retained; the store is unavailable
// for some seconds, entries of live upstreams expire, and come back one after the other. The age of
// a list tells only how long an outage can have lasted. That there was one follows from what the
// store did: it failed calls, it was restored, or many entries disappeared together.
//
// Decision module: no I/O, single-threaded.

#ifndef AZUREGW_SYNC_OUTAGE_EVIDENCE_H_
#define AZUREGW_SYNC_OUTAGE_EVIDENCE_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "azuregw/base/clock.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/sync/removal_bounds.h"

namespace azuregw {

// Collects the evidence of one instance. Evidence of other instances does not count: their calls
// may fail because they are cut off from a store that is sound.
class OutageEvidence {
 public:
  // Smallest number of entries, and smallest part of the list, that count as expired together.
  // Planned work takes away a few upstreams at a time.
  static constexpr size_t kMinExpiredTogether = 3;
  static constexpr size_t kMaxListPerExpired = 16;

  // Records a failed call to the store that was sent at `sent`.
  void OnCallFailed(TimePoint sent) { m_last_failure = sent; }
  // Records the first sign of a restore of the store.
  void OnStoreRestored(const RemovalBounds& bounds, TimePoint now);
  // Records that the list of upstreams matched the store at `confirmed`; `previous` is the time at
  // which the list before did.
  void OnConfirmed(TimePoint previous, TimePoint confirmed, const RemovalBounds& bounds,
                   TimePoint now);
  // Returns until when entries are retained that a list lacks. It matched the store at `confirmed`,
  // the list before at `previous`.
  RetentionWindow Window(const ListDifference& difference, TimePoint previous, TimePoint confirmed,
                         const RemovalBounds& bounds, TimePoint now);
  // Returns the evidence for the last window, for the log; empty if there was none.
  std::string_view Name() const { return m_name; }

 private:
  std::optional<TimePoint> m_last_failure;  // When the last call that failed was sent.
  TimePoint m_retain_until;                 // After an outage or a restore.
  std::string_view m_name;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_OUTAGE_EVIDENCE_H_
