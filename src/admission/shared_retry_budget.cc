// Sliding-window accounting of requests and retries.

#include "azuregw/admission/shared_retry_budget.h"

#include <algorithm>

namespace azuregw {

void SharedRetryBudget::Expire(Counts* counts, TimePoint now) const {
  for (std::deque<TimePoint>* times : {&counts->requests, &counts->retries}) {
    while (!times->empty() && now - times->front() > m_options.window) {
      times->pop_front();
    }
  }
}

void SharedRetryBudget::SetInstances(int instances, TimePoint now) {
  instances = std::max(1, instances);
  if (instances >= m_instances) {
    m_instances = instances;
    m_lower_count = 0;
    return;
  }
  if (m_lower_count == 0) {
    m_lower_count_since = now;
  }
  m_lower_count = std::max(m_lower_count, instances);
  if (now - m_lower_count_since > m_options.window) {
    m_instances = m_lower_count;
    m_lower_count = 0;
  }
}

void SharedRetryBudget::OnRequest(const std::string& service, TimePoint now) {
  Counts& counts = m_services[service];
  counts.requests.push_back(now);
  Expire(&counts, now);
}

bool SharedRetryBudget::Allows(const std::string& service, TimePoint now) {
  Counts& counts = m_services[service];
  Expire(&counts, now);
  const double allowed =
      kUsableShare * (m_options.ratio * static_cast<double>(counts.requests.size()) +
                      m_options.slack / m_instances);
  return static_cast<double>(counts.retries.size()) + 1 <= allowed;
}

bool SharedRetryBudget::Take(const std::string& service, TimePoint now) {
  if (!Allows(service, now)) {
    return false;
  }
  m_services[service].retries.push_back(now);
  return true;
}

}  // namespace azuregw
