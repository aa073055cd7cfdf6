// Outlier detection by consecutive failures and by latency relative to the peers' median.

#include "azuregw/routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace azuregw {
namespace {

// Weight of a new sample in the moving average of the latency.
constexpr double kLatencySmoothing = 0.1;
// Time constant of the decay of measurements.
constexpr double kFreshnessDecayNs = 10e9;
// Time after the end of an ejection after which the next ejection has the base duration again.
constexpr std::chrono::minutes kBackoffResetTime{10};

int64_t Nanoseconds(TimePoint time) { return time.time_since_epoch().count(); }

// Returns the upper median; reorders `values`.
double Median(std::vector<double>* values) {
  const auto middle = values->begin() + static_cast<std::ptrdiff_t>(values->size() / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

void EngineHealth::OnSuccess(double ms_per_token, TimePoint now) {
  m_consecutive_failures.store(0, std::memory_order_relaxed);
  const double old = LatencyMs();
  const double next = old == 0.0 ? ms_per_token : old + kLatencySmoothing * (ms_per_token - old);
  m_latency_ms.store(next, std::memory_order_relaxed);
  m_samples.fetch_add(1, std::memory_order_relaxed);
  m_measured_ns.store(Nanoseconds(now), std::memory_order_relaxed);
}

void EngineHealth::OnFailure(TimePoint now) {
  m_consecutive_failures.fetch_add(1, std::memory_order_relaxed);
  m_measured_ns.store(Nanoseconds(now), std::memory_order_relaxed);
}

double EngineHealth::Freshness(TimePoint now) const {
  const int64_t age_ns = Nanoseconds(now) - m_measured_ns.load(std::memory_order_relaxed);
  return std::exp(-std::max(0.0, static_cast<double>(age_ns)) / kFreshnessDecayNs);
}

bool EngineHealth::IsEjected(TimePoint now) const {
  return Nanoseconds(now) < m_ejected_until_ns.load(std::memory_order_relaxed);
}

OutlierDetector::OutlierDetector(const OutlierOptions& options) : m_options(options) {}

std::vector<OutlierDetector::Ejection> OutlierDetector::Evaluate(gsl::span<const OutlierPeer> peers,
                                                                 TimePoint now) const {
  size_t ejected = 0;
  for (const OutlierPeer& peer : peers) {
    ejected += peer.health->IsEjected(now) ? 1 : 0;
  }
  const size_t count = peers.size();
  const auto share = static_cast<size_t>(m_options.max_ejected_share * static_cast<double>(count));
  const size_t allowed = count == 0 ? 0 : std::min(share, count - 1);
  std::vector<Ejection> ejections;
  for (size_t i = 0; i < count && ejected < allowed; ++i) {
    if (!peers[i].health->IsEjected(now) && IsOutlier(peers[i], peers)) {
      ejections.push_back({i, Eject(peers[i].health, now)});
      ++ejected;
    }
  }
  return ejections;
}

bool OutlierDetector::IsOutlier(const OutlierPeer& peer, gsl::span<const OutlierPeer> peers) const {
  if (peer.health->ConsecutiveFailures() >= m_options.failure_threshold) {
    return true;
  }
  if (peer.health->m_samples.load(std::memory_order_relaxed) < m_options.min_samples) {
    return false;
  }
  std::vector<double> latencies;
  for (const OutlierPeer& other : peers) {
    if (other.kind == peer.kind && other.health->LatencyMs() > 0) {
      latencies.push_back(other.health->LatencyMs());
    }
  }
  if (static_cast<int>(latencies.size()) < m_options.min_peers) {
    return false;
  }
  const double median = Median(&latencies);
  return peer.health->LatencyMs() > m_options.latency_factor * median + peer.link_ms;
}

TimePoint OutlierDetector::Eject(EngineHealth* health, TimePoint now) const {
  const int64_t last_end = health->m_ejected_until_ns.load(std::memory_order_relaxed);
  const auto reset_after_ns =
      std::chrono::duration_cast<std::chrono::nanoseconds>(kBackoffResetTime).count();
  if (last_end != 0 && Nanoseconds(now) - last_end > reset_after_ns) {
    health->m_ejections.store(0, std::memory_order_relaxed);
  }
  const int earlier = std::min(health->m_ejections.fetch_add(1), 10);
  const Milliseconds duration =
      std::min(m_options.base_ejection_time * (1 << earlier), m_options.max_ejection_time);
  const TimePoint until = now + duration;
  health->m_ejected_until_ns.store(Nanoseconds(until), std::memory_order_relaxed);
  // After the ejection, a single failure ejects the engine again, and its latency is measured anew.
  health->m_consecutive_failures.store(
      std::min(health->ConsecutiveFailures(), m_options.failure_threshold - 1),
      std::memory_order_relaxed);
  health->m_latency_ms.store(0.0, std::memory_order_relaxed);
  health->m_samples.store(0, std::memory_order_relaxed);
  return until;
}

}  // namespace azuregw
