// Additive increase and multiplicative decrease on first-result latency.

#include "azuregw/admission/adaptive_limit.h"

#include <algorithm>
#include <cassert>

namespace azuregw {
namespace {

// Share of the limit in use that justifies growth; below 1 - AdmissionOptions::reserve, because one
// workspace alone cannot use more.
constexpr double kInUse = 0.7;
constexpr double kBaselineSmoothing = 0.3;  // Towards lower latencies.
constexpr double kBaselineGrowth = 1.002;   // Per window; lets the baseline follow slower engines.

}  // namespace

void AdaptiveLimit::SetCapacity(double capacity, int instances) {
  const double old_share = m_share;
  m_bound = std::max(1.0, capacity);
  m_share = std::max(1.0, m_bound / std::max(1, instances));
  // When instances or upstreams come or go, the limit moves at once in proportion.
  m_limit = m_limit == 0 ? m_share : m_limit * m_share / old_share;
  m_limit = std::clamp(m_limit, 1.0, m_bound);
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
    return;  // One decrease per window, however many requests failed in it.
  }
  m_last_overload = now;
  Decrease(m_options.largest_decrease, inflight);
}

void AdaptiveLimit::CloseWindow(int inflight, TimePoint now) {
  const double mean_ms = m_sum_ms / m_samples;
  m_samples = 0;
  if (m_baseline_ms == 0) {
    m_baseline_ms = mean_ms;
  } else if (mean_ms < m_baseline_ms) {
    m_baseline_ms += kBaselineSmoothing * (mean_ms - m_baseline_ms);
  } else {
    m_baseline_ms *= kBaselineGrowth;
  }
  const double allowed_ms = m_options.tolerance * m_baseline_ms;
  if (mean_ms > allowed_ms) {
    Decrease(std::max(allowed_ms / mean_ms, m_options.largest_decrease), inflight);
  } else if (m_peak_inflight >= kInUse * m_limit) {
    m_limit = std::min(m_bound, m_limit + m_options.growth * m_share);
  }
  assert(m_limit >= 1 && m_limit <= m_bound);
}

void AdaptiveLimit::Decrease(double factor, int inflight) {
  // Requests hold their places for a whole answer. Until the last decrease has taken effect, the
  // latency says nothing about the new limit.
  if (inflight > m_limit + 1) {
    return;
  }
  m_limit = std::max(1.0, m_limit * factor);
}

}  // namespace azuregw
