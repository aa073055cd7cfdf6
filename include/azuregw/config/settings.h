// Settings of one instance, read from a TOML file at the start. docs/azuregw.example.toml documents
// every key with its unit and default.

#ifndef AZUREGW_CONFIG_SETTINGS_H_
#define AZUREGW_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct InstanceSettings {
  std::string name;  // Unique over all instances.
  std::string failure_domain;
  std::string region;
};

struct CallerSettings {
  std::string address;  // "IP:port"; port 0 lets the kernel choose.
  int64_t max_header_bytes = 16384;
  int64_t max_stream_buffer_bytes =
      262144;       // Unsent bytes per stream before the caller is dropped.
  int threads = 4;  // HTTP threads of the process.
};

struct AdminSettings {
  std::string address;  // "IP:port"
  std::string key;      // Bearer key of the operators.
};

struct PeerSettings {
  std::string address;  // "IP:port"
  std::string key;      // Shared secret of all instances, decoded from hexadecimal.
};

struct PlatformSettings {
  std::string kv_address;    // "IP:port"
  std::string list_address;  // "IP:port"
  Milliseconds call_timeout{1000};
};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
};

struct DrainSettings {
  Milliseconds limit{0};  // 0: wait until all work has ended.
  Milliseconds ready_delay{2000};
};

struct OrderSettings {
  Milliseconds flush_limit{5000};  // Wait for unwritten outcomes at the end of a shutdown.
};

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

struct SettingsProblem {
  int line = 0;     // 0 when the key is missing.
  std::string key;  // Such as "caller.address".
  std::string message;
};

struct SettingsReport {
  Settings settings;  // Valid only when `problems` is empty.
  std::vector<SettingsProblem> problems;
};

// Reads the text of a settings file and reports every problem. `peer.key_file` and `admin.key_file`
// are read from disk, relative to the working directory.
SettingsReport ParseSettings(std::string_view text);

// Every key that a settings file may have, such as "caller.address".
std::vector<std::string> SettingsKeys();

// Reads `path`. Errors: kSettingsUnreadable; kSettingsInvalid with one line per problem in the form
// "file:line: key: message".
Result<Settings> LoadSettings(const std::string& path);

}  // namespace azuregw

#endif  // AZUREGW_CONFIG_SETTINGS_H_
