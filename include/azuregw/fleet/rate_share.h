// Share of an instance in a limit of requests per second that an upstream states for all instances
// together.
//
// Decision module: no I/O. Load pattern: many instances learn of a limit that is far below one
// request per second and instance. Equal shares of all instances would let each of them send one
// request at the same moment. Instead, only as many instances use the upstream as it accepts
// requests per second, and all instances agree on which without exchanging messages.

#ifndef AZUREGW_FLEET_RATE_SHARE_H_
#define AZUREGW_FLEET_RATE_SHARE_H_

#include <cstdint>
#include <string_view>

#include "azuregw/base/clock.h"

namespace azuregw {

// Place of an instance among those that share their load.
struct FleetPosition {
  uint32_t number = 0;  // Differs between instances; numbers may have gaps.
  int instances = 1;
};

// Follows the position of this instance through changes of the leader. A new leader counts the
// instances from one, and shares that follow from such a count would exceed limits.
class PositionTracker {
 public:
  // A lower number of instances counts after this time.
  static constexpr Milliseconds kLowerCountTime{5000};

  explicit PositionTracker(const FleetPosition& start) : m_position(start) {}

  // Records the number that the leader assigned to this instance, and its count of instances.
  void Update(uint32_t number, int instances, TimePoint now);
  const FleetPosition& Position() const { return m_position; }

 private:
  FleetPosition m_position;
  bool m_known = false;  // Update() was called.
  // Largest count since `m_lower_since`, when counts became lower than the position's; 0: none is.
  int m_lower_count = 0;
  TimePoint m_lower_since;
};

// Returns the requests per second that the instance at `position` may send to `upstream`; 0 if it
// leaves the limit to others. The shares of all instances add up to the limit, which is raised to
// kMinRateLimit.
double RateShare(double limit, std::string_view upstream, const FleetPosition& position);

// Lower bound of limits, in requests per second: without any request, an upstream could not state
// that its limit has ended.
constexpr double kMinRateLimit = 0.1;

// Tokens for the requests of one instance to one upstream. A new bucket is empty, so that instances
// that learn of a limit together do not send together.
class StartBucket {
 public:
  // Returns the tokens at `now` if they grow by `rate` per second. The bucket holds the tokens of
  // kBurstTime, at least one.
  double Tokens(double rate, TimePoint now) const;
  // Returns the time until there is a token; the longest time if `rate` is 0.
  Milliseconds Delay(double rate, TimePoint now) const;
  void Take(double rate, TimePoint now);
  // Empties the bucket.
  void Reset(TimePoint now);

 private:
  static constexpr std::chrono::duration<double> kBurstTime{0.25};

  double m_tokens = 0;  // At m_counted.
  TimePoint m_counted;
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_RATE_SHARE_H_
