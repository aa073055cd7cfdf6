// Timers on Boost.Asio.

#include "azuregw/base/event_loop.h"

#include <time.h>

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace azuregw {
namespace {

class AsioTimer final : public Timer {
 public:
  AsioTimer(boost::asio::io_context* context, Milliseconds delay, std::function<void()> action)
      : m_timer(*context, delay) {
    m_timer.async_wait([action = std::move(action),
                        alive = std::weak_ptr<int>(m_alive)](boost::system::error_code error) {
      // An expired timer can no longer be cancelled: its handler may wait behind the one that
      // destroys it.
      if (!error && !alive.expired()) {
        action();
      }
    });
  }

 private:
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);  // Expires with the timer.
  boost::asio::steady_timer m_timer;
};

class AsioLoop final : public EventLoop {
 public:
  explicit AsioLoop(boost::asio::io_context* context) : m_context(context) {}

  TimePoint Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);  // Cannot fail for this clock on Linux.
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
  }

  std::unique_ptr<Timer> After(Milliseconds delay, std::function<void()> action) override {
    return std::make_unique<AsioTimer>(m_context, delay, std::move(action));
  }

 private:
  boost::asio::io_context* const m_context;
};

}  // namespace

std::unique_ptr<EventLoop> MakeEventLoop(boost::asio::io_context* context) {
  return std::make_unique<AsioLoop>(context);
}

}  // namespace azuregw
