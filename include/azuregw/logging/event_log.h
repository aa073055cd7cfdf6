// Event log: decisions and state changes of an instance as JSON lines on standard output.

#ifndef AZUREGW_LOGGING_EVENT_LOG_H_
#define AZUREGW_LOGGING_EVENT_LOG_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "azuregw/base/event_loop.h"

namespace azuregw {

// Records why an instance acted as it did, for operators and for `azuregw explain`. Use LogEvent()
// in log.h for diagnostics of the process.
//
// Writing never blocks: lines are buffered up to a fixed size and written when the output accepts
// them. Lines that do not fit the buffer, or that exceed the rate limit of their event, are
// dropped; the events "lines_dropped" and "lines_left_out" report how many. Not thread-safe: call
// on the thread of the event loop.
class EventLog {
 public:
  virtual ~EventLog() = default;
  // Appends one line with the time, the instance, `event` and the members of `fields`, which is a
  // JSON object. Lines above the rate limit of `event` are dropped; `important` lines have a higher
  // limit.
  virtual void Write(std::string_view event, nlohmann::ordered_json fields, bool important) = 0;
  // Writes the buffer before the process ends. Blocks until the buffer is empty, the output fails,
  // or the output accepts nothing for 200 ms.
  virtual void Flush() = 0;
};

// Identity and output of an event log.
struct EventLogOptions {
  std::string instance;        // Name of this instance, written to each line.
  std::string failure_domain;  // Failure domain of this instance, written to each line.
  int file_descriptor = 1;     // Output; standard output by default. Switched to non-blocking mode.
};

// Creates an event log. `loop` and `clock` must outlive it.
std::unique_ptr<EventLog> MakeEventLog(EventLoop* loop, const Clock* clock,
                                       const EventLogOptions& options);

}  // namespace azuregw

#endif  // AZUREGW_LOGGING_EVENT_LOG_H_
