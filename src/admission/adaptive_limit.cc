// Additive increase and multiplicative decrease driven by the first-result latency.

#include "azuregw/admission/adaptive_limit.h"

#include <algorithm>
#include <cassert>

namespace azuregw {
namespace {

// Fraction of the limit that must be in use before it grows. Below 1 - AdmissionOptions::reserve,
// which is the most that a single workspace can use.
constexpr double kMinUtilizationForGrowth = 0.7;
constexpr double kBaselineSmoothing = 0.3;          // Weight of a lower latency.
constexpr double kBaselineGrowthPerWindow = 1.002;  // Lets the baseline follow slower engines.

}  // namespace

void AdaptiveLimit::SetCapacity(double capacity, int instances) {
  const double old_share = m_even_share;
  m_max_limit = std::max(1.0, capacity);
  m_even_share = std::max(1.0, m_max_limit / std::max(1, instances));
  // When the number of instances or upstreams changes, the limit changes immediately in proportion.
  m_limit = m_limit == 0 ? m_even_share : m_limit * m_even_share / old_share;
  m_limit = std::clamp(m_limit, 1.0, m_max_limit);
}

void AdaptiveLimit::OnResult(Milliseconds latency, int inflight, TimePoint now) {
  if (m_samples == 0) {
    m_window_start = now;
    m_sum_ms = 0;
    m_peak_inflight = 0;
  }
  ++m_samples;
  m_sum_ms += static_cast<double>(std::max<int64_t>(latency.count(), 1));
  m_peak_inflight = std::max(m_peak_inflight, inflight);
  if (m_samples >= m_options.window_samples && now - m_window_start >= m_options.window) {
    CloseWindow(inflight, now);
  }
}

void AdaptiveLimit::OnOverload(int inflight, TimePoint now) {
  if (now - m_last_overload < m_options.window) {
    return;  // At most one decrease per window, regardless of the number of failed requests.
  }
  m_last_overload = now;
  Decrease(m_options.min_decrease_factor, inflight);
}

void AdaptiveLimit::CloseWindow(int inflight, TimePoint now) {
  const double mean_ms = m_sum_ms / m_samples;
  m_samples = 0;
  if (m_baseline_ms == 0) {
    m_baseline_ms = mean_ms;
  } else if (mean_ms < m_baseline_ms) {
    m_baseline_ms += kBaselineSmoothing * (mean_ms - m_baseline_ms);
  } else {
    m_baseline_ms *= kBaselineGrowthPerWindow;
  }
  const double allowed_ms = m_options.tolerance * m_baseline_ms;
  if (mean_ms > allowed_ms) {
    Decrease(std::max(allowed_ms / mean_ms, m_options.min_decrease_factor), inflight);
  } else if (m_peak_inflight >= kMinUtilizationForGrowth * m_limit) {
    m_limit = std::min(m_max_limit, m_limit + m_options.growth * m_even_share);
  }
  assert(m_limit >= 1 && m_limit <= m_max_limit);
}

void AdaptiveLimit::Decrease(double factor, int inflight) {
  // A request counts as in flight until its response is complete. Until `inflight` has dropped to
  // the last decreased limit, the latency does not reflect that limit.
  if (inflight > m_limit + 1) {
    return;
  }
  m_limit = std::max(1.0, m_limit * factor);
}

}  // namespace azuregw
