// Decisions and changes of belief as JSON lines on standard output.
//
// Writing never blocks: lines wait in a bounded buffer, which is written when the output takes it.
// Lines that do not fit, or that exceed their kind's rate, are counted and the count is logged.

#ifndef AZUREGW_LOGGING_EVENT_LOG_H_
#define AZUREGW_LOGGING_EVENT_LOG_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "azuregw/base/event_loop.h"

namespace azuregw {

class EventLog {
 public:
  virtual ~EventLog() = default;
  // Writes one line with the time, the instance, `event` and the members of `fields`, an object.
  // Lines of one event beyond its rate are left out unless `important`.
  virtual void Write(std::string_view event, nlohmann::ordered_json fields, bool important) = 0;
  // Blocks until the buffer is written or the output fails; for the end of the process.
  virtual void Flush() = 0;
};

struct EventLogOptions {
  std::string instance;
  std::string failure_domain;
  int file_descriptor = 1;
};

std::unique_ptr<EventLog> MakeEventLog(EventLoop* loop, const Clock* clock,
                                       const EventLogOptions& options);

}  // namespace azuregw

#endif  // AZUREGW_LOGGING_EVENT_LOG_H_
