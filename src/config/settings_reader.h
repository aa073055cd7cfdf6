// Typed access to the values of a TOML table, with a list of errors.

#ifndef SRC_CONFIG_SETTINGS_READER_H_
#define SRC_CONFIG_SETTINGS_READER_H_

#include <toml++/toml.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/config/settings.h"

namespace azuregw {

// Reads and checks values of a settings file and collects errors. Keys that are read, present or
// not, become known; ReportUnknown() reports all other keys of the file.
class SettingsReader {
 public:
  // `root` and `problems` must outlive the reader.
  SettingsReader(const toml::table& root, std::vector<SettingsProblem>* problems);

  // Whether the absence of a key is an error.
  enum class Need { kRequired, kOptional };

  // Each function reads one key, reports an error if its value is invalid or a required key is
  // absent, and returns whether `out` was set.

  // Reads a non-empty string.
  bool ReadString(std::string_view section, std::string_view key, Need need, std::string* out);
  // Reads an address that satisfies IsAddress().
  bool ReadAddress(std::string_view section, std::string_view key, Need need, std::string* out);
  // Reads an optional integer from `min` to `max`.
  bool ReadInteger(std::string_view section, std::string_view key, int64_t min, int64_t max,
                   int64_t* out);
  // Reads an optional integer from `min` to `max` as a time in ms.
  bool ReadMilliseconds(std::string_view section, std::string_view key, int64_t min, int64_t max,
                        Milliseconds* out);

  // Adds an error about a key, with the line of the key or, if it is absent, of its section.
  void Report(std::string_view section, std::string_view key, std::string message);
  // Adds an error for each section and key of the file that is not known.
  void ReportUnknown();
  // Returns the known keys, such as "caller.address".
  std::vector<std::string> KnownKeys() const;

 private:
  // Makes a key known and returns its value, or null if it is absent.
  const toml::node* Find(std::string_view section, std::string_view key);

  const toml::table& m_root;
  std::vector<SettingsProblem>* m_problems;
  std::map<std::string, std::set<std::string>, std::less<>> m_known_keys;  // Keys by section.
};

// Returns whether `text` is "IP:port" with a numeric IPv4 address and a port from 0 to 65535.
bool IsAddress(std::string_view text);

}  // namespace azuregw

#endif  // SRC_CONFIG_SETTINGS_READER_H_
