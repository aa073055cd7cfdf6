// Time and timers of the single-threaded parts, so that tests run them on a virtual clock.

#ifndef AZUREGW_BASE_EVENT_LOOP_H_
#define AZUREGW_BASE_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "azuregw/base/clock.h"

namespace azuregw {

// Cancels its timer when it is destroyed.
class Timer {
 public:
  virtual ~Timer() = default;
};

class EventLoop {
 public:
  virtual ~EventLoop() = default;
  // Returns the current time. Unlike the steady clock, it advances while the machine is suspended,
  // so that the age of stored information includes the suspension.
  virtual TimePoint Now() const = 0;
  virtual std::unique_ptr<Timer> After(Milliseconds delay, std::function<void()> action) = 0;
};

// `context` must outlive the loop and its timers.
std::unique_ptr<EventLoop> MakeEventLoop(boost::asio::io_context* context);

}  // namespace azuregw

#endif  // AZUREGW_BASE_EVENT_LOOP_H_
