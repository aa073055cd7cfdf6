// Exponentially decaying counts of attempts and retries.

#include "azuregw/admission/retry_budget.h"

#include <cmath>

namespace azuregw {
namespace {

constexpr std::chrono::duration<double> kWindow{10.0};

}  // namespace

void RetryBudget::OnFirstAttempt(TimePoint now) {
  Decay(now);
  m_attempts += 1;
}

bool RetryBudget::Take(int percent, TimePoint now) {
  Decay(now);
  if (percent <= 0 || m_retries + 1 > kMinRetriesPerWindow + m_attempts * percent / 100.0) {
    return false;
  }
  m_retries += 1;
  return true;
}

void RetryBudget::Decay(TimePoint now) {
  if (now <= m_updated) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - m_updated;
  const double factor = std::exp(-elapsed / kWindow);
  m_attempts *= factor;
  m_retries *= factor;
  m_updated = now;
}

}  // namespace azuregw
