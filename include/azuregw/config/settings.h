// Settings of one instance, read from a TOML file when it starts. docs/azuregw.example.toml
// documents every key with its unit and default.

#ifndef AZUREGW_CONFIG_SETTINGS_H_
#define AZUREGW_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

// Severity of a log line, in ascending order.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Identity and location of the instance.
struct InstanceSettings {
  std::string name;            // Unique among all instances.
  std::string failure_domain;  // Failure domain that the instance runs in.
  std::string region;          // Region that the instance runs in; may be empty.
};

// Listener for requests of callers.
struct CallerSettings {
  std::string address;               // "IP:port"; with port 0 the kernel chooses a free port.
  int64_t max_header_bytes = 16384;  // Maximum size of the header of a request.
  // Maximum unsent bytes per stream; a slower caller is disconnected.
  int64_t max_stream_buffer_bytes = 262144;
  int threads = 4;  // HTTP threads of the process.
};

// Listener for operators.
struct AdminSettings {
  std::string address;  // "IP:port".
  std::string key;      // Bearer key of the operators.
};

// Listener for the other instances.
struct PeerSettings {
  std::string address;  // "IP:port".
  std::string key;      // Shared secret of all instances, as bytes.
};

// Services of the platform.
struct PlatformSettings {
  std::string kv_address;           // "IP:port" of the key-value service.
  std::string list_address;         // "IP:port" of the list of instances.
  Milliseconds call_timeout{1000};  // Timeout of one call to either service.
};

// Process log.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;  // Lowest level that is written.
};

// Graceful shutdown.
struct DrainSettings {
  // Maximum time until work in progress is aborted, from the start of the shutdown; 0 waits until
  // all work has ended.
  Milliseconds limit{0};
  // Time during which the instance reports not ready but still accepts work, so that load balancers
  // can react.
  Milliseconds ready_delay{2000};
};

// Orders.
struct OrderSettings {
  Milliseconds flush_limit{5000};  // Maximum wait for unwritten outcomes at the end of a shutdown.
};

// All settings of an instance. The defaults are those of optional keys.
struct Settings {
  InstanceSettings instance;
  CallerSettings caller;
  AdminSettings admin;
  PeerSettings peer;
  PlatformSettings platform;
  LogSettings log;
  DrainSettings drain;
  OrderSettings orders;
};

// One error in a settings file.
struct SettingsProblem {
  int line = 0;         // Line of the key, else of its section; 0 if both are missing.
  std::string key;      // Section and key, such as "caller.address".
  std::string message;  // What was expected and what was found.
};

// Result of ParseSettings().
struct SettingsReport {
  Settings settings;                      // Valid only if `problems` is empty.
  std::vector<SettingsProblem> problems;  // All errors, sorted by line.
};

// Parses the text of a settings file and reports every error. Reads the files named by
// `peer.key_file` and `admin.key_file`, relative to the working directory.
SettingsReport ParseSettings(std::string_view text);

// Returns every key that a settings file may have, such as "caller.address".
std::vector<std::string> SettingsKeys();

// Reads and parses the file at `path`. Errors: kSettingsUnreadable; kSettingsInvalid with one line
// per error in the form "file:line: key: message".
Result<Settings> LoadSettings(const std::string& path);

}  // namespace azuregw

#endif  // AZUREGW_CONFIG_SETTINGS_H_
