// Process log: diagnostics as JSON lines on stderr, through glog.
//
// Every line has the members time, level, instance, failure_domain, component, event, request_id,
// code and message. Messages must not contain secrets or the text of requests or responses.

#ifndef AZUREGW_LOGGING_LOG_H_
#define AZUREGW_LOGGING_LOG_H_

#include <string>
#include <string_view>

#include "azuregw/base/result.h"
#include "azuregw/config/settings.h"

namespace azuregw {

// Origin of the log lines of this process.
struct LogIdentity {
  std::string instance;        // Name of this instance.
  std::string failure_domain;  // Failure domain of this instance.
};

// Redirects all glog output to stderr as JSON lines and drops lines below `level`. Call once,
// before threads start.
void InitLogging(const LogIdentity& identity, LogLevel level);

// Writes one line if `level` is at least the configured level. `component` and `event` are
// lower-case names; `request_id` is empty if the line concerns no request. Thread-safe. Plain LOG()
// calls produce lines with the component "process" and the event "log".
void LogEvent(LogLevel level, std::string_view component, std::string_view event,
              std::string_view request_id, ResultCode code, std::string_view message);

// Returns one log line as JSON, without the trailing line feed. `time` is UTC in ISO 8601. Bytes
// that are not valid UTF-8 are replaced.
std::string FormatLogLine(const LogIdentity& identity, std::string_view time, LogLevel level,
                          std::string_view component, std::string_view event,
                          std::string_view request_id, ResultCode code, std::string_view message);

}  // namespace azuregw

#endif  // AZUREGW_LOGGING_LOG_H_
