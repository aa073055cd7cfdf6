// Turns failed calls, restores and lists into retention windows.

#include "azuregw/sync/outage_evidence.h"

#include <algorithm>

namespace azuregw {

void OutageEvidence::OnStoreRestored(const RemovalBounds& bounds, TimePoint now) {
  m_retain_until = std::max(m_retain_until, bounds.RetainAfterOutage(now));
  m_name = "store_restored";
}

void OutageEvidence::OnConfirmed(TimePoint previous, TimePoint confirmed,
                                 const RemovalBounds& bounds, TimePoint now) {
  const bool failed = m_last_failure && *m_last_failure >= previous;
  // The store answered at both times, so an outage between them was not longer than this.
  const auto longest_outage = confirmed - previous;
  if (failed && longest_outage >= bounds.MinExpiringOutage()) {
    m_retain_until = std::max(m_retain_until, bounds.RetainAfterOutage(now));
    m_name = "calls_failed";
  }
}

RetentionWindow OutageEvidence::Window(const ListDifference& difference, TimePoint previous,
                                       TimePoint confirmed, const RemovalBounds& bounds,
                                       TimePoint now) {
  RetentionWindow window{m_retain_until, TimePoint()};
  if (difference.missing >= kMinExpiredTogether &&
      difference.missing * kMaxListPerExpired >= difference.present) {
    window.first_missing = bounds.RetainExpiredTogether(previous, confirmed, now);
    if (now >= m_retain_until) {
      m_name = "expired_together";
    }
  }
  return window;
}

}  // namespace azuregw
