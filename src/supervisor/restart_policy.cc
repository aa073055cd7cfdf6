// Exponential back-off over a sliding window.

#include "azuregw/supervisor/restart_policy.h"

#include <algorithm>

namespace azuregw {

RestartPolicy::RestartPolicy(const RestartOptions& options) : m_options(options) {}

void RestartPolicy::Forget(TimePoint now) {
  while (!m_failures.empty() && now - m_failures.front() > m_options.window) {
    m_failures.pop_front();
  }
}

Milliseconds RestartPolicy::OnFailure(TimePoint now) {
  Forget(now);
  Milliseconds delay = m_options.first_delay;
  for (size_t i = 0; i < m_failures.size() && delay < m_options.last_delay; ++i) {
    delay *= 2;
  }
  m_failures.push_back(now);
  return std::min(delay, m_options.last_delay);
}

bool RestartPolicy::FailsTooOften(TimePoint now) {
  Forget(now);
  return m_failures.size() > static_cast<size_t>(m_options.max_failures);
}

}  // namespace azuregw
