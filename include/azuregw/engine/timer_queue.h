// Runs functions at given times on one thread.

#ifndef AZUREGW_ENGINE_TIMER_QUEUE_H_
#define AZUREGW_ENGINE_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "azuregw/base/clock.h"

namespace azuregw {

class TimerQueue {
 public:
  virtual ~TimerQueue() = default;
  // `run` is called once on the timer thread at or after `at` and must not block. Thread-safe.
  // Functions that are still waiting when the queue is destroyed are dropped.
  virtual uint64_t Schedule(TimePoint at, std::function<void()> run) = 0;
  // Has no effect when the function has started or is unknown. Thread-safe.
  virtual void Cancel(uint64_t id) = 0;
};

std::unique_ptr<TimerQueue> MakeTimerQueue();

}  // namespace azuregw

#endif  // AZUREGW_ENGINE_TIMER_QUEUE_H_
