// glog sink that writes JSON lines to stderr.

#include "azuregw/logging/log.h"

#include <glog/logging.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "azuregw/base/utc_text.h"

namespace azuregw {
namespace {

// Fields of a LogEvent() call beyond its message.
struct EventFields {
  LogLevel level;
  std::string_view component;
  std::string_view event;
  std::string_view request_id;
  ResultCode code;
};
// Fields of the LogEvent() call in progress on this thread, null for a plain LOG() call. glog calls
// the sink on the logging thread.
thread_local const EventFields* t_fields = nullptr;

// Lowest level that is written. Before InitLogging(), lines go to the default output of glog.
std::atomic<LogLevel> g_level{LogLevel::kInfo};

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

LogLevel LevelFromSeverity(google::LogSeverity severity) {
  switch (severity) {
    case google::GLOG_INFO:
      return LogLevel::kInfo;
    case google::GLOG_WARNING:
      return LogLevel::kWarning;
    default:
      return LogLevel::kError;
  }
}

google::LogSeverity SeverityFromLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
    case LogLevel::kInfo:
      return google::GLOG_INFO;
    case LogLevel::kWarning:
      return google::GLOG_WARNING;
    case LogLevel::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

// Returns UTC in ISO 8601 with microseconds, such as "2026-01-02T03:04:05.000006Z".
std::string FormatUtcTime(const google::LogMessageTime& time) {
  char fraction[16];
  std::snprintf(fraction, sizeof(fraction), ".%06dZ", static_cast<int>(time.usec()));
  return UtcSecondsText(static_cast<int64_t>(time.timestamp())) + fraction;
}

// Writes each glog message to stderr as one JSON line.
class JsonSink final : public google::LogSink {
 public:
  explicit JsonSink(LogIdentity identity) : m_identity(std::move(identity)) {}

  void send(google::LogSeverity severity, const char* /*full_filename*/,
            const char* /*base_filename*/, int /*line*/, const google::LogMessageTime& time,
            const char* message, size_t message_length) override {
    EventFields fields = {LevelFromSeverity(severity), "process", "log", "", ResultCode::kOk};
    if (t_fields != nullptr) {
      fields = *t_fields;
    }
    if (fields.level < g_level.load(std::memory_order_relaxed)) {
      return;
    }
    std::string line =
        FormatLogLine(m_identity, FormatUtcTime(time), fields.level, fields.component, fields.event,
                      fields.request_id, fields.code, std::string_view(message, message_length));
    line.push_back('\n');
    // A single write per line keeps lines of concurrent threads apart. A failed write is ignored:
    // there is no other output to report it to.
    const ssize_t written = ::write(STDERR_FILENO, line.data(), line.size());
    static_cast<void>(written);
  }

 private:
  const LogIdentity m_identity;
};

}  // namespace

void InitLogging(const LogIdentity& identity, LogLevel level) {
  g_level = level;
  if (!google::IsGoogleLoggingInitialized()) {
    google::InitGoogleLogging("azuregw");
  }
  // Instances have no disk: glog writes no log files, and stderr is written only by the sink.
  for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::SetStderrLogging(google::NUM_SEVERITIES);
  // Never freed: glog keeps a pointer to the sink until the process ends.
  google::AddLogSink(new JsonSink(identity));
}

void LogEvent(LogLevel level, std::string_view component, std::string_view event,
              std::string_view request_id, ResultCode code, std::string_view message) {
  if (level < g_level.load(std::memory_order_relaxed)) {
    return;
  }
  const EventFields fields = {level, component, event, request_id, code};
  t_fields = &fields;
  google::LogMessage(__FILE__, __LINE__, SeverityFromLevel(level)).stream() << message;
  t_fields = nullptr;
}

std::string FormatLogLine(const LogIdentity& identity, std::string_view time, LogLevel level,
                          std::string_view component, std::string_view event,
                          std::string_view request_id, ResultCode code, std::string_view message) {
  const nlohmann::ordered_json line = {{"time", time},
                                       {"level", LevelName(level)},
                                       {"instance", identity.instance},
                                       {"failure_domain", identity.failure_domain},
                                       {"component", component},
                                       {"event", event},
                                       {"request_id", request_id},
                                       {"code", static_cast<int>(code)},
                                       {"message", message}};
  // Replaces invalid UTF-8, which messages from other processes may contain.
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace azuregw
