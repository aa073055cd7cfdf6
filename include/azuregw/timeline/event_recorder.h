// Where components record events for the timeline over all processes.

#ifndef AZUREGW_TIMELINE_EVENT_RECORDER_H_
#define AZUREGW_TIMELINE_EVENT_RECORDER_H_

#include <string_view>

#include "azuregw/base/result.h"

namespace azuregw {

class EventRecorder {
 public:
  virtual ~EventRecorder() = default;
  // `event` is a lower-case name such as "stage_replaced"; `request_id` may be empty; `detail` is
  // free text without secrets or request contents. Thread-safe; never blocks on I/O.
  virtual void Record(std::string_view component, std::string_view event,
                      std::string_view request_id, std::string_view detail, ResultCode code) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_TIMELINE_EVENT_RECORDER_H_
