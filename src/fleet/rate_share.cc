// Selection of the instances that use a limited upstream, and their token buckets.

#include "azuregw/fleet/rate_share.h"

#include <algorithm>
#include <cmath>

#include "azuregw/base/rendezvous.h"

namespace azuregw {

void PositionTracker::Update(uint32_t number, int instances, TimePoint now) {
  m_position.number = number;
  instances = std::max(1, instances);
  if (!m_known || instances >= m_position.instances) {
    m_known = true;
    m_position.instances = instances;
    m_lower_count = 0;
    return;
  }
  if (m_lower_count == 0) {
    m_lower_since = now;
  }
  m_lower_count = std::max(m_lower_count, instances);
  if (now - m_lower_since >= kLowerCountTime) {
    m_position.instances = m_lower_count;
    m_lower_count = 0;
  }
}

double RateShare(double limit, std::string_view upstream, const FleetPosition& position) {
  limit = std::max(limit, kMinRateLimit);
  const auto instances = static_cast<uint32_t>(std::max(1, position.instances));
  // Each instance that uses the upstream may send at least one request per second.
  const auto users =
      static_cast<uint32_t>(std::clamp(std::floor(limit), 1.0, static_cast<double>(instances)));
  // Different upstreams have different users.
  const uint32_t place =
      static_cast<uint32_t>((position.number + StableHash(upstream)) % instances);
  return place < users ? limit / users : 0;
}

double StartBucket::Tokens(double rate, TimePoint now) const {
  const double size = std::max(1.0, rate * kBurstTime.count());
  const std::chrono::duration<double> elapsed = now - m_counted;
  return std::min(size, m_tokens + rate * elapsed.count());
}

Milliseconds StartBucket::Delay(double rate, TimePoint now) const {
  const double missing = 1 - Tokens(rate, now);
  if (missing <= 0) {
    return Milliseconds(0);
  }
  if (rate <= 0) {
    return Milliseconds::max();
  }
  return Milliseconds(static_cast<int64_t>(std::ceil(1000 * missing / rate)));
}

void StartBucket::Take(double rate, TimePoint now) {
  m_tokens = Tokens(rate, now) - 1;
  m_counted = now;
}

void StartBucket::Reset(TimePoint now) {
  m_tokens = 0;
  m_counted = now;
}

}  // namespace azuregw
