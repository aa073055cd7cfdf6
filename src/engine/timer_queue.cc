// TimerQueue over Boost.Asio timers on one thread.

#include "azuregw/engine/timer_queue.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace azuregw {
namespace {

namespace asio = boost::asio;

// Shared by the queue and its thread, so that the queue may be destroyed from its own thread.
struct TimerState {
  asio::io_context context{1};
  std::mutex mutex;
  uint64_t next_id = 1;
  std::unordered_map<uint64_t, std::unique_ptr<asio::steady_timer>> timers;
};

class AsioTimerQueue : public TimerQueue {
 public:
  AsioTimerQueue()
      : m_state(std::make_shared<TimerState>()), m_work(asio::make_work_guard(m_state->context)) {
    m_thread = std::thread([state = m_state] { state->context.run(); });
  }

  ~AsioTimerQueue() override {
    m_work.reset();
    m_state->context.stop();
    if (m_thread.get_id() == std::this_thread::get_id()) {
      m_thread.detach();
    } else {
      m_thread.join();
    }
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->timers.clear();
  }

  uint64_t Schedule(TimePoint at, std::function<void()> run) override {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    const uint64_t id = m_state->next_id++;
    auto timer = std::make_unique<asio::steady_timer>(m_state->context, at);
    timer->async_wait([state = m_state.get(), id, run = std::move(run)](
                          const boost::system::error_code&) { Fire(state, id, run); });
    m_state->timers.emplace(id, std::move(timer));
    return id;
  }

  void Cancel(uint64_t id) override {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->timers.erase(id);
  }

 private:
  static void Fire(TimerState* state, uint64_t id, const std::function<void()>& run) {
    {
      // A timer that was cancelled after it expired is no longer in the map.
      const std::lock_guard<std::mutex> lock(state->mutex);
      if (state->timers.erase(id) == 0) {
        return;
      }
    }
    run();
  }

  std::shared_ptr<TimerState> m_state;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

}  // namespace

std::unique_ptr<TimerQueue> MakeTimerQueue() { return std::make_unique<AsioTimerQueue>(); }

}  // namespace azuregw
