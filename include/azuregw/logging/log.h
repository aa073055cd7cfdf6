// Log lines as JSON on stderr, through glog.
//
// Every line has the members time, level, instance, failure_domain, component, event, request_id,
// code and message. Messages hold no secrets and no texts of requests or answers.

#ifndef AZUREGW_LOGGING_LOG_H_
#define AZUREGW_LOGGING_LOG_H_

#include <string>
#include <string_view>

#include "azuregw/base/result.h"
#include "azuregw/config/settings.h"

namespace azuregw {

struct LogIdentity {
  std::string instance;
  std::string failure_domain;
};

// Sends all glog output to stderr as JSON lines. Call once, before threads start.
void InitLogging(const LogIdentity& identity, LogLevel level);

// Writes one line if `level` is at least the configured one. `component` and `event` are lower-case
// names. Thread-safe. Lines of plain LOG() calls have the component "process" and the event "log".
void LogEvent(LogLevel level, std::string_view component, std::string_view event,
              std::string_view request_id, ResultCode code, std::string_view message);

// One line without the line feed, as InitLogging's output writes it.
std::string FormatLogLine(const LogIdentity& identity, std::string_view time, LogLevel level,
                          std::string_view component, std::string_view event,
                          std::string_view request_id, ResultCode code, std::string_view message);

}  // namespace azuregw

#endif  // AZUREGW_LOGGING_LOG_H_
