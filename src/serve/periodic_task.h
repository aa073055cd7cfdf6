// Calls a function at a fixed interval on a thread of its own.

#ifndef SRC_SERVE_PERIODIC_TASK_H_
#define SRC_SERVE_PERIODIC_TASK_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "azuregw/base/clock.h"

namespace azuregw {

class PeriodicTask {
 public:
  PeriodicTask(Milliseconds interval, std::function<void()> work);
  // Waits for a call in progress.
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

 private:
  void Loop();

  const Milliseconds m_interval;
  const std::function<void()> m_work;
  std::mutex m_mutex;
  std::condition_variable m_stop_changed;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace azuregw

#endif  // SRC_SERVE_PERIODIC_TASK_H_
