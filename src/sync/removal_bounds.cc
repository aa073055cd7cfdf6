// Derives the times of the list and of API keys from the bounds of the platform.

#include "azuregw/sync/removal_bounds.h"

#include <algorithm>

#include "azuregw/routes/key_age.h"

namespace azuregw {
namespace {

// Interval between own calls, as a fraction of the leaving bound.
constexpr double kListIntervalFraction = 0.45;
// Shorter on the leader, because relaying adds to the age that followers see.
constexpr Milliseconds kRelayingListInterval{500};
// Keeps a bound that is too small to be kept from occupying the store.
constexpr Milliseconds kMinListInterval{50};
// Deployments with a large leaving bound have many instances, which all call the store when they
// lose the leader.
constexpr double kOwnCallMarginFraction = 0.35;
// A slow store takes 400 ms to answer.
constexpr Milliseconds kOwnCallMargin{500};
constexpr double kMaxOwnCallMarginFraction = 0.5;
// Margin for early expiry. The platform calls the interval approximate and states no figure.
constexpr double kHeartbeatJitter = 0.25;

Milliseconds Scale(double factor, Milliseconds time) {
  return Milliseconds(static_cast<int64_t>(factor * static_cast<double>(time.count())));
}

}  // namespace

Milliseconds RemovalBounds::ListInterval(bool relaying) const {
  const Milliseconds interval =
      std::max(kMinListInterval, Scale(kListIntervalFraction, m_settings.leaving_bound));
  return relaying ? std::min(kRelayingListInterval, interval) : interval;
}

Milliseconds RemovalBounds::OwnCallMargin() const {
  const Milliseconds bound = m_settings.leaving_bound;
  return std::max(Scale(kOwnCallMarginFraction, bound),
                  std::min(kOwnCallMargin, Scale(kMaxOwnCallMarginFraction, bound)));
}

Milliseconds RemovalBounds::MaxRelayedListAge() const {
  return m_settings.leaving_bound - OwnCallMargin();
}

Milliseconds RemovalBounds::CallAllowance() const {
  // Between two own reads, an entry may be removed while the first call is on its way back.
  const Milliseconds own_reads = (m_settings.leaving_bound - ListInterval(false)) / 2;
  return std::max(Milliseconds(0), std::min(OwnCallMargin() - kRelayCheckInterval, own_reads));
}

Milliseconds RemovalBounds::MinExpiringOutage() const {
  // An upstream whose heartbeat was due when the outage began has missed one less.
  return Scale((1 - kHeartbeatJitter) * (kMissedHeartbeats - 1), m_settings.heartbeat);
}

Milliseconds RemovalBounds::CopiedEntryTtl() const {
  return kMissedHeartbeats * m_settings.heartbeat + kRelistGrace;
}

TimePoint RemovalBounds::RetainExpiredTogether(TimePoint listed, TimePoint confirmed,
                                               TimePoint now) const {
  if (confirmed - listed >= m_settings.leaving_bound) {
    // A process that runs asks for the list earlier, so this one was suspended. The bound has
    // passed for all entries and cannot tell those of live upstreams apart.
    return now + kRelistGrace;
  }
  return std::min(now + kRelistGrace, listed + m_settings.leaving_bound - OwnCallMargin());
}

Milliseconds RemovalBounds::MaxKeyAge() const { return KeyAgeLimit(m_settings.key_removal_bound); }

Milliseconds RemovalBounds::LongestUse(RemovalPath path) const {
  switch (path) {
    case RemovalPath::kOwnReads:
      return CallAllowance() + ListInterval(false) + CallAllowance();
    case RemovalPath::kLeaderLost:
      return MaxRelayedListAge() + kRelayCheckInterval + CallAllowance();
    case RemovalPath::kExpiredTogether: {
      const TimePoint listed;  // The entry is removed right after this.
      const TimePoint confirmed = listed + MaxRelayedListAge() + kRelayCheckInterval;
      const TimePoint seen = confirmed + CallAllowance();
      const TimePoint end = std::max(seen, RetainExpiredTogether(listed, confirmed, seen));
      return std::chrono::duration_cast<Milliseconds>(end - listed);
    }
  }
  return m_settings.leaving_bound;
}

}  // namespace azuregw
