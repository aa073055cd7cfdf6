// Selection of the less loaded of two random upstreams.

#include "orders/upstream_picker.h"

#include <algorithm>
#include <vector>

namespace azuregw {

const ServiceUpstreamSpec* UpstreamPicker::Start(const Snapshot& snapshot,
                                                 const std::string& service,
                                                 const std::set<std::string>& excluded) {
  std::vector<const ServiceUpstreamSpec*> candidates;
  for (const auto& [name, upstream] : snapshot.preset->service_upstreams) {
    const bool usable = upstream.service == service && excluded.count(name) == 0 &&
                        snapshot.leaving_upstreams.count(name) == 0;
    if (usable) {
      candidates.push_back(&upstream);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  const size_t first = m_random->Below(candidates.size());
  size_t second = first;
  if (candidates.size() > 1) {
    second = (first + 1 + m_random->Below(candidates.size() - 1)) % candidates.size();
  }
  const ServiceUpstreamSpec* chosen =
      Load(*candidates[second]) < Load(*candidates[first]) ? candidates[second] : candidates[first];
  ++m_in_flight[chosen->name];
  return chosen;
}

void UpstreamPicker::End(const std::string& upstream) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_in_flight.find(upstream);
  if (it != m_in_flight.end() && --it->second <= 0) {
    m_in_flight.erase(it);
  }
}

double UpstreamPicker::Load(const ServiceUpstreamSpec& upstream) const {
  const auto it = m_in_flight.find(upstream.name);
  const int in_flight = it == m_in_flight.end() ? 0 : it->second;
  return static_cast<double>(in_flight) / std::max(1, upstream.capacity);
}

}  // namespace azuregw
