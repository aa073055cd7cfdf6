// Start tags and flow accounting of start-time fair queueing.

#include "azuregw/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace azuregw {

void FairQueue::Push(WaitingRequest request, double weight) {
  Flow& flow = m_flows[request.flow];
  flow.weight = weight;
  ++flow.waiting;
  ++m_size;
  const auto priority = static_cast<size_t>(std::clamp(request.priority, 0, kPriorityCount - 1));
  flow.requests[priority].push_back(std::move(request));
}

std::optional<WaitingRequest> FairQueue::Pop() {
  auto* next = const_cast<Flow*>(Next());
  if (next == nullptr) {
    return std::nullopt;
  }
  ChargeFlow(next);
  return PopHighestPriority(next);
}

const FairQueue::Flow* FairQueue::Next() const {
  const Flow* next = nullptr;
  for (const auto& [name, flow] : m_flows) {
    if (flow.waiting > 0 && (next == nullptr || StartTag(flow) < StartTag(*next))) {
      next = &flow;
    }
  }
  return next;
}

bool FairQueue::BelowShare(const std::string& flow_name, double weight) const {
  const auto found = m_flows.find(flow_name);
  return found == m_flows.end() || StartTag(found->second) + 1.0 / weight <= m_virtual_time;
}

bool FairQueue::NextIsBelowShare() const {
  const Flow* next = Next();
  return next != nullptr && StartTag(*next) + 1.0 / next->weight <= m_virtual_time;
}

void FairQueue::Charge(const std::string& name, double weight) {
  Flow& flow = m_flows[name];
  flow.weight = weight;
  ChargeFlow(&flow);
}

size_t FairQueue::CountAhead(const std::string& flow_name, double weight, int priority) const {
  size_t own = 0;
  double start = m_virtual_time - m_credit / weight;
  const auto found = m_flows.find(flow_name);
  if (found != m_flows.end()) {
    start = StartTag(found->second);
    for (int p = std::clamp(priority, 0, kPriorityCount - 1); p < kPriorityCount; ++p) {
      own += found->second.requests[static_cast<size_t>(p)].size();
    }
  }
  start += static_cast<double>(own) / weight;
  size_t ahead = own;
  for (const auto& [name, flow] : m_flows) {
    if (flow.waiting == 0 || name == flow_name) {
      continue;
    }
    const double earlier = (start - StartTag(flow)) * flow.weight;
    if (earlier >= 0) {
      ahead += std::min(flow.waiting, static_cast<size_t>(earlier) + 1);
    }
  }
  return ahead;
}

std::optional<WaitingRequest> FairQueue::EvictFor(const std::string& arriving, double weight) {
  const auto own = m_flows.find(arriving);
  const size_t own_waiting = own == m_flows.end() ? 0 : own->second.waiting;
  double most = static_cast<double>(own_waiting + 1) / weight;
  Flow* victim = nullptr;
  for (auto& [name, flow] : m_flows) {
    const double excess = static_cast<double>(flow.waiting) / flow.weight;
    if (name != arriving && excess > most) {
      most = excess;
      victim = &flow;
    }
  }
  if (victim == nullptr) {
    return std::nullopt;
  }
  return EvictLowestPriority(victim);
}

std::vector<WaitingRequest> FairQueue::RemoveIf(
    const std::function<bool(const WaitingRequest&)>& expired) {
  std::vector<WaitingRequest> removed;
  for (auto& [name, flow] : m_flows) {
    for (std::deque<WaitingRequest>& queue : flow.requests) {
      const auto kept = std::stable_partition(
          queue.begin(), queue.end(),
          [&expired](const WaitingRequest& request) { return !expired(request); });
      const auto count = static_cast<size_t>(queue.end() - kept);
      std::move(kept, queue.end(), std::back_inserter(removed));
      queue.erase(kept, queue.end());
      flow.waiting -= count;
      m_size -= count;
    }
  }
  return removed;
}

void FairQueue::Compact() {
  for (auto entry = m_flows.begin(); entry != m_flows.end();) {
    const Flow& flow = entry->second;
    const bool idle = flow.waiting == 0 && flow.next_start_tag <= m_virtual_time - Credit(flow);
    entry = idle ? m_flows.erase(entry) : std::next(entry);
  }
}

double FairQueue::StartTag(const Flow& flow) const {
  return std::max(flow.next_start_tag, m_virtual_time - Credit(flow));
}

void FairQueue::ChargeFlow(Flow* flow) {
  const double start = StartTag(*flow);
  m_virtual_time = std::max(m_virtual_time, start);
  flow->next_start_tag = start + 1.0 / flow->weight;
}

WaitingRequest FairQueue::PopHighestPriority(Flow* flow) {
  for (size_t p = kPriorityCount; p-- > 0;) {
    std::deque<WaitingRequest>& queue = flow->requests[p];
    if (!queue.empty()) {
      WaitingRequest request = std::move(queue.front());
      queue.pop_front();
      --flow->waiting;
      --m_size;
      return request;
    }
  }
  assert(false);
  return {};
}

WaitingRequest FairQueue::EvictLowestPriority(Flow* flow) {
  for (std::deque<WaitingRequest>& queue : flow->requests) {
    if (!queue.empty()) {
      WaitingRequest request = std::move(queue.back());
      queue.pop_back();
      --flow->waiting;
      --m_size;
      return request;
    }
  }
  assert(false);
  return {};
}

}  // namespace azuregw
