// Periodic work.

#include "serve/periodic_task.h"

#include <utility>

namespace azuregw {

PeriodicTask::PeriodicTask(Milliseconds interval, std::function<void()> work)
    : m_interval(interval), m_work(std::move(work)), m_thread([this] { Loop(); }) {}

PeriodicTask::~PeriodicTask() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
  }
  m_stop_changed.notify_all();
  m_thread.join();
}

void PeriodicTask::Loop() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stop_changed.wait_for(lock, m_interval, [this] { return m_stopped; })) {
    lock.unlock();
    m_work();
    lock.lock();
  }
}

}  // namespace azuregw
