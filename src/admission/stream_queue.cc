// Order of waiting streams.

#include "azuregw/admission/stream_queue.h"

#include <algorithm>
#include <tuple>

namespace azuregw {

void StreamQueue::Remove(const StreamWaiter* waiter) {
  m_entries.erase(std::remove_if(m_entries.begin(), m_entries.end(),
                                 [&](const Entry& entry) { return entry.waiter == waiter; }),
                  m_entries.end());
}

void StreamQueue::StartEligible(TimePoint now) {
  std::vector<Entry> order = m_entries;
  std::stable_sort(order.begin(), order.end(), [now](const Entry& a, const Entry& b) {
    const bool a_late = now > a.latency_deadline;
    const bool b_late = now > b.latency_deadline;
    return std::tie(a_late, a.priority, a.arrived) < std::tie(b_late, b.priority, b.arrived);
  });
  int failures = 0;
  for (const Entry& entry : order) {
    // A waiter that started may have ended others.
    const bool present = std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry& other) {
      return other.waiter == entry.waiter;
    });
    if (!present) {
      continue;
    }
    if (entry.waiter->TryStart()) {
      Remove(entry.waiter);
      failures = 0;
    } else if (++failures >= kFailuresInARow) {
      return;
    }
  }
}

void StreamQueue::OnStarted(TimePoint now) {
  m_started.push_back(now);
  while (now - m_started.front() > kRateWindow) {
    m_started.pop_front();
  }
}

double StreamQueue::StartsPerS(TimePoint now) {
  while (!m_started.empty() && now - m_started.front() > kRateWindow) {
    m_started.pop_front();
  }
  return 1000.0 * static_cast<double>(m_started.size()) / static_cast<double>(kRateWindow.count());
}

}  // namespace azuregw
