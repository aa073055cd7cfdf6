// Accounting of callers' connections, and the choice of those to close.

#include "azuregw/admission/receive_budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace azuregw {

ReceiveBudget::Limits ReceiveBudget::LimitsOf(uint64_t memory_bytes, int max_descriptors) {
  Limits limits;
  limits.bytes = static_cast<uint64_t>(static_cast<double>(memory_bytes) * kMemoryShare);
  const int sockets = std::max(0, max_descriptors - kFileDescriptors);
  limits.connections = std::min(static_cast<size_t>(sockets * kSocketShare),
                                static_cast<size_t>(limits.bytes / kConnectionBytes));
  return limits;
}

std::optional<ReceiveBudget::ConnectionId> ReceiveBudget::Add(ConnectionId id, TimePoint now) {
  Connection added;
  added.progress_at = now;
  m_connections[id] = added;
  if (m_connections.size() <= m_limits.connections) {
    return std::nullopt;
  }
  ConnectionId victim = id;
  TimePoint longest = TimePoint::max();
  for (const auto& [other, connection] : m_connections) {
    const bool waits_for_caller = connection.phase != Phase::kServing || connection.unsent > 0;
    if (other != id && waits_for_caller && connection.progress_at < longest) {
      longest = connection.progress_at;
      victim = other;
    }
  }
  return victim;
}

void ReceiveBudget::Remove(ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    m_held -= found->second.held;
    m_connections.erase(found);
  }
}

void ReceiveBudget::SetPhase(ConnectionId id, Phase phase, TimePoint now) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  Connection& connection = found->second;
  connection.phase = phase;
  connection.steps = 0;
  connection.progress_at = now;
}

void ReceiveBudget::OnReceived(ConnectionId id, uint64_t bytes, TimePoint now) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  Connection& connection = found->second;
  const uint64_t steps = bytes / kProgressBytes;
  if (steps > connection.steps) {
    connection.steps = steps;
    connection.progress_at = now;
  }
}

void ReceiveBudget::OnSent(ConnectionId id, TimePoint now) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    found->second.progress_at = now;
  }
}

std::vector<ReceiveBudget::ConnectionId> ReceiveBudget::SetHeld(ConnectionId id, uint64_t bytes,
                                                                uint64_t unsent) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return {};
  }
  Connection& connection = found->second;
  const bool grows = bytes > connection.held;
  m_held += bytes - connection.held;
  connection.held = bytes;
  connection.unsent = unsent;
  const bool large = bytes > kOrdinaryBytes;
  const uint64_t limit = large ? LargestRequest() : m_limits.bytes;
  if (!grows || m_held <= limit) {
    return {};
  }
  // Unfinished requests go before responses, which upstreams have worked for.
  std::vector<std::tuple<bool, TimePoint, ConnectionId>> candidates;
  for (const auto& [other, entry] : m_connections) {
    if (IsEvictable(entry) && entry.held > (large ? kOrdinaryBytes : 0)) {
      candidates.emplace_back(entry.phase != Phase::kReceiving, entry.progress_at, other);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  const auto target = static_cast<uint64_t>(static_cast<double>(limit) * kUseAfterEviction);
  uint64_t held = m_held;
  std::vector<ConnectionId> evicted;
  for (const auto& [has_response, progress_at, candidate] : candidates) {
    if (held <= target) {
      break;
    }
    held -= m_connections.at(candidate).held;
    evicted.push_back(candidate);
  }
  return evicted;
}

std::vector<ReceiveBudget::ConnectionId> ReceiveBudget::NotReading(Milliseconds limit,
                                                                   TimePoint now) const {
  std::vector<ConnectionId> result;
  for (const auto& [id, connection] : m_connections) {
    if (connection.unsent > 0 && now - connection.progress_at > limit) {
      result.push_back(id);
    }
  }
  return result;
}

}  // namespace azuregw
