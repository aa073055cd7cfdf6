// Counts the requests in progress.

#ifndef AZUREGW_SRC_GATEWAY_PROGRESS_COUNTER_H_
#define AZUREGW_SRC_GATEWAY_PROGRESS_COUNTER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <utility>

#include "azuregw/base/clock.h"

namespace azuregw {

// Thread-safe.
class ProgressCounter {
 public:
  // `on_change` is told each new count and must not block.
  explicit ProgressCounter(std::function<void(int)> on_change)
      : m_on_change(std::move(on_change)) {}

  void Begin() { Change(1); }
  void End() { Change(-1); }

  int Count() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_count;
  }

  bool WaitIdle(TimePoint deadline) {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_idle.wait_until(lock, deadline, [this] { return m_count == 0; });
  }

 private:
  void Change(int difference) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_count += difference;
    m_on_change(m_count);
    if (m_count == 0) {
      m_idle.notify_all();
    }
  }

  const std::function<void(int)> m_on_change;
  mutable std::mutex m_mutex;
  std::condition_variable m_idle;
  int m_count = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_PROGRESS_COUNTER_H_
