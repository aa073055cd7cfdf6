// Counts over a sliding window.

#include "azuregw/admission/shared_retry_budget.h"

#include <algorithm>

namespace azuregw {

void SharedRetryBudget::Expire(Counts* counts, TimePoint now) const {
  for (std::deque<TimePoint>* times : {&counts->requests, &counts->repeats}) {
    while (!times->empty() && now - times->front() > m_bounds.window) {
      times->pop_front();
    }
  }
}

void SharedRetryBudget::SetInstances(int instances, TimePoint now) {
  instances = std::max(1, instances);
  if (instances >= m_instances) {
    m_instances = instances;
    m_fewer = 0;
    return;
  }
  if (m_fewer == 0) {
    m_fewer_since = now;
  }
  m_fewer = std::max(m_fewer, instances);
  if (now - m_fewer_since > m_bounds.window) {
    m_instances = m_fewer;
    m_fewer = 0;
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
      kUsableShare * (m_bounds.share * static_cast<double>(counts.requests.size()) +
                      m_bounds.allowance / m_instances);
  return static_cast<double>(counts.repeats.size()) + 1 <= allowed;
}

bool SharedRetryBudget::Take(const std::string& service, TimePoint now) {
  if (!Allows(service, now)) {
    return false;
  }
  m_services[service].repeats.push_back(now);
  return true;
}

}  // namespace azuregw
