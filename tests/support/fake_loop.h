// Event loop with a virtual clock.

#ifndef TESTS_SUPPORT_FAKE_LOOP_H_
#define TESTS_SUPPORT_FAKE_LOOP_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "azuregw/base/event_loop.h"

namespace azuregw {

// Runs timers only in Advance(), in the order of their times.
class FakeLoop final : public EventLoop {
 public:
  TimePoint Now() const override { return m_now; }

  std::unique_ptr<Timer> After(Milliseconds delay, std::function<void()> action) override {
    const auto key = std::make_pair(m_now + delay, m_next++);
    m_timers[key] = std::move(action);
    return std::make_unique<FakeTimer>(this, key);
  }

  // Advances the clock by `time` and runs all timers that become due.
  void Advance(Milliseconds time) {
    const TimePoint end = m_now + time;
    while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
      const auto due = m_timers.begin();
      m_now = std::max(m_now, due->first.first);
      const std::function<void()> action = std::move(due->second);
      m_timers.erase(due);
      action();
    }
    m_now = end;
  }

  // Advances the clock without running timers, like a suspended process.
  void Suspend(Milliseconds time) { m_now += time; }

 private:
  using Key = std::pair<TimePoint, uint64_t>;
  class FakeTimer final : public Timer {
   public:
    FakeTimer(FakeLoop* loop, Key key) : m_loop(loop), m_key(key) {}
    ~FakeTimer() override { m_loop->m_timers.erase(m_key); }

   private:
    FakeLoop* const m_loop;
    const Key m_key;
  };

  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_next = 0;
  std::map<Key, std::function<void()>> m_timers;
};

}  // namespace azuregw

#endif  // TESTS_SUPPORT_FAKE_LOOP_H_
