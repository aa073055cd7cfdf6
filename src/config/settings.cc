// Reads the settings file: sections, keys and ranges.

#include "azuregw/config/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "config/settings_reader.h"

namespace azuregw {
namespace {

using Need = SettingsReader::Need;

constexpr size_t kMinPeerKeyDigits = 32;
constexpr size_t kMinAdminKeyLength = 16;
constexpr int64_t kMaxMilliseconds = 24LL * 3600 * 1000;

// Name of a log level in the settings file.
struct LevelName {
  std::string_view name;
  LogLevel level;
};
constexpr std::array<LevelName, 4> kLogLevelNames = {{{"debug", LogLevel::kDebug},
                                                      {"info", LogLevel::kInfo},
                                                      {"warning", LogLevel::kWarning},
                                                      {"error", LogLevel::kError}}};

// Reads a whole file. Returns false if it cannot be read.
bool ReadFile(const std::string& path, std::string* out) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return false;
  }
  std::ostringstream text;
  text << file.rdbuf();
  *out = text.str();
  return !file.bad();
}

void TrimTrailingWhitespace(std::string* text) {
  while (!text->empty() && std::isspace(static_cast<unsigned char>(text->back())) != 0) {
    text->pop_back();
  }
}

// Reads `key`, or the file named by `key_file` without trailing white space. Reports an error
// unless exactly one of them is present.
bool ReadSecret(SettingsReader* reader, std::string_view section, std::string* out) {
  std::string inline_key;
  std::string path;
  const bool has_inline_key = reader->ReadString(section, "key", Need::kOptional, &inline_key);
  const bool has_file = reader->ReadString(section, "key_file", Need::kOptional, &path);
  if (has_inline_key == has_file) {
    reader->Report(section, "key", "expected exactly one of key and key_file");
    return false;
  }
  if (has_inline_key) {
    *out = inline_key;
    return true;
  }
  if (!ReadFile(path, out)) {
    reader->Report(section, "key_file", "cannot read the file \"" + path + "\"");
    return false;
  }
  TrimTrailingWhitespace(out);
  return true;
}

// Decodes pairs of hexadecimal digits to bytes. Returns false if `text` is not valid.
bool DecodeHex(const std::string& text, std::string* out) {
  if (text.size() % 2 != 0) {
    return false;
  }
  const bool all_digits = std::all_of(text.begin(), text.end(), [](char c) {
    return std::isxdigit(static_cast<unsigned char>(c)) != 0;
  });
  if (!all_digits) {
    return false;
  }
  out->clear();
  for (size_t i = 0; i < text.size(); i += 2) {
    out->push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
  }
  return true;
}

void ReadPeerKey(SettingsReader* reader, std::string* out) {
  std::string digits;
  if (!ReadSecret(reader, "peer", &digits)) {
    return;
  }
  if (digits.size() < kMinPeerKeyDigits || !DecodeHex(digits, out)) {
    reader->Report("peer", "key", "expected an even number of hexadecimal digits, at least 32");
  }
}

void ReadAdminKey(SettingsReader* reader, std::string* out) {
  if (!ReadSecret(reader, "admin", out)) {
    return;
  }
  if (out->size() < kMinAdminKeyLength) {
    reader->Report("admin", "key", "expected at least 16 characters");
  }
}

void ReadLogLevel(SettingsReader* reader, LogLevel* out) {
  std::string name;
  if (!reader->ReadString("log", "level", Need::kOptional, &name)) {
    return;
  }
  const auto found = std::find_if(kLogLevelNames.begin(), kLogLevelNames.end(),
                                  [&name](const LevelName& entry) { return entry.name == name; });
  if (found == kLogLevelNames.end()) {
    reader->Report("log", "level", "expected debug, info, warning or error");
    return;
  }
  *out = found->level;
}

// Reads all sections and reports errors to `reader`. Reads every key that exists, which
// SettingsKeys() relies on.
void ReadSettings(SettingsReader* reader, Settings* out) {
  reader->ReadString("instance", "name", Need::kRequired, &out->instance.name);
  reader->ReadString("instance", "failure_domain", Need::kRequired, &out->instance.failure_domain);
  reader->ReadString("instance", "region", Need::kOptional, &out->instance.region);
  reader->ReadAddress("caller", "address", Need::kRequired, &out->caller.address);
  reader->ReadInteger("caller", "max_header_bytes", 1024, 1 << 20, &out->caller.max_header_bytes);
  reader->ReadInteger("caller", "max_stream_buffer_bytes", 4096, 1 << 28,
                      &out->caller.max_stream_buffer_bytes);
  int64_t threads = out->caller.threads;
  reader->ReadInteger("caller", "threads", 1, 256, &threads);
  out->caller.threads = static_cast<int>(threads);
  reader->ReadAddress("admin", "address", Need::kRequired, &out->admin.address);
  ReadAdminKey(reader, &out->admin.key);
  reader->ReadAddress("peer", "address", Need::kRequired, &out->peer.address);
  ReadPeerKey(reader, &out->peer.key);
  reader->ReadAddress("platform", "kv_address", Need::kRequired, &out->platform.kv_address);
  reader->ReadAddress("platform", "list_address", Need::kRequired, &out->platform.list_address);
  reader->ReadMilliseconds("platform", "call_timeout_ms", 10, 60000, &out->platform.call_timeout);
  ReadLogLevel(reader, &out->log.level);
  reader->ReadMilliseconds("drain", "limit_ms", 0, kMaxMilliseconds, &out->drain.limit);
  reader->ReadMilliseconds("drain", "ready_delay_ms", 0, kMaxMilliseconds, &out->drain.ready_delay);
  reader->ReadMilliseconds("orders", "flush_limit_ms", 0, kMaxMilliseconds,
                           &out->orders.flush_limit);
}

}  // namespace

SettingsReport ParseSettings(std::string_view text) {
  SettingsReport report;
  try {
    const toml::table root = toml::parse(text);
    SettingsReader reader(root, &report.problems);
    ReadSettings(&reader, &report.settings);
    reader.ReportUnknown();
  } catch (const toml::parse_error& error) {
    report.problems.push_back({static_cast<int>(error.source().begin.line), "",
                               "invalid TOML: " + std::string(error.description())});
  }
  std::stable_sort(
      report.problems.begin(), report.problems.end(),
      [](const SettingsProblem& a, const SettingsProblem& b) { return a.line < b.line; });
  return report;
}

std::vector<std::string> SettingsKeys() {
  const toml::table empty;
  std::vector<SettingsProblem> problems;
  SettingsReader reader(empty, &problems);
  Settings settings;
  ReadSettings(&reader, &settings);
  return reader.KnownKeys();
}

Result<Settings> LoadSettings(const std::string& path) {
  std::string text;
  if (!ReadFile(path, &text)) {
    return NotRun(ResultCode::kSettingsUnreadable, path + ": cannot be read");
  }
  SettingsReport report = ParseSettings(text);
  if (report.problems.empty()) {
    return std::move(report.settings);
  }
  std::string message;
  for (const SettingsProblem& problem : report.problems) {
    message += message.empty() ? "" : "\n";
    message += path + ":" + std::to_string(problem.line) + ": ";
    message += problem.key.empty() ? "" : problem.key + ": ";
    message += problem.message;
  }
  return NotRun(ResultCode::kSettingsInvalid, std::move(message));
}

}  // namespace azuregw
