// Reads typed values out of a TOML table and collects problems.

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

// Every key that is read counts as known; ReportUnknown reports the others.
class SettingsReader {
 public:
  SettingsReader(const toml::table& root, std::vector<SettingsProblem>* problems);

  enum class Need { kRequired, kOptional };

  // Leaves `out` unchanged when an optional key is absent. Returns whether a valid value was read.
  bool ReadString(std::string_view section, std::string_view key, Need need, std::string* out);
  bool ReadAddress(std::string_view section, std::string_view key, Need need, std::string* out);
  bool ReadInteger(std::string_view section, std::string_view key, int64_t min, int64_t max,
                   int64_t* out);
  bool ReadMilliseconds(std::string_view section, std::string_view key, int64_t min, int64_t max,
                        Milliseconds* out);

  void Report(std::string_view section, std::string_view key, std::string message);
  void ReportUnknown();
  // Keys that were asked for, such as "caller.address".
  std::vector<std::string> KnownKeys() const;

 private:
  const toml::node* Find(std::string_view section, std::string_view key);

  const toml::table& m_root;
  std::vector<SettingsProblem>* m_problems;
  std::map<std::string, std::set<std::string>, std::less<>> m_known;
};

// Whether `text` is "IP:port" with a numeric IPv4 address and a port from 0 to 65535.
bool IsAddress(std::string_view text);

}  // namespace azuregw

#endif  // SRC_CONFIG_SETTINGS_READER_H_
