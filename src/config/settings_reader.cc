// Typed access to the values of a TOML table.

#include "config/settings_reader.h"

#include <arpa/inet.h>

#include <charconv>
#include <utility>

namespace azuregw {

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  in_addr parsed;
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return false;
  }
  int port = -1;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  return error == std::errc() && end == port_text.data() + port_text.size() && port >= 0 &&
         port <= 65535;
}

SettingsReader::SettingsReader(const toml::table& root, std::vector<SettingsProblem>* problems)
    : m_root(root), m_problems(problems) {}

const toml::node* SettingsReader::Find(std::string_view section, std::string_view key) {
  m_known_keys[std::string(section)].insert(std::string(key));
  const toml::table* table = m_root[section].as_table();
  return table == nullptr ? nullptr : table->get(key);
}

void SettingsReader::Report(std::string_view section, std::string_view key, std::string message) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) {
    node = m_root.get(section);
  }
  const int line = node == nullptr ? 0 : static_cast<int>(node->source().begin.line);
  m_problems->push_back({line, std::string(section) + "." + std::string(key), std::move(message)});
}

bool SettingsReader::ReadString(std::string_view section, std::string_view key, Need need,
                                std::string* out) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) {
    if (need == Need::kRequired) {
      Report(section, key, "missing; expected a string");
    }
    return false;
  }
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    Report(section, key, "expected a non-empty string");
    return false;
  }
  *out = *value;
  return true;
}

bool SettingsReader::ReadAddress(std::string_view section, std::string_view key, Need need,
                                 std::string* out) {
  std::string text;
  if (!ReadString(section, key, need, &text)) {
    return false;
  }
  if (!IsAddress(text)) {
    Report(section, key,
           "expected \"IP:port\" with a numeric IPv4 address, found \"" + text + "\"");
    return false;
  }
  *out = std::move(text);
  return true;
}

bool SettingsReader::ReadInteger(std::string_view section, std::string_view key, int64_t min,
                                 int64_t max, int64_t* out) {
  const toml::node* node = Find(section, key);
  if (node == nullptr) {
    return false;
  }
  const auto value = node->value_exact<int64_t>();
  if (!value || *value < min || *value > max) {
    Report(section, key,
           "expected an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return false;
  }
  *out = *value;
  return true;
}

bool SettingsReader::ReadMilliseconds(std::string_view section, std::string_view key, int64_t min,
                                      int64_t max, Milliseconds* out) {
  int64_t value = 0;
  if (!ReadInteger(section, key, min, max, &value)) {
    return false;
  }
  *out = Milliseconds(value);
  return true;
}

std::vector<std::string> SettingsReader::KnownKeys() const {
  std::vector<std::string> keys;
  for (const auto& [section, names] : m_known_keys) {
    for (const std::string& name : names) {
      keys.push_back(section + "." + name);
    }
  }
  return keys;
}

void SettingsReader::ReportUnknown() {
  for (const auto& [section_key, section_node] : m_root) {
    const std::string section(section_key.str());
    const int section_line = static_cast<int>(section_node.source().begin.line);
    const auto known = m_known_keys.find(section);
    if (known == m_known_keys.end()) {
      m_problems->push_back({section_line, section, "unknown section"});
      continue;
    }
    const toml::table* table = section_node.as_table();
    if (table == nullptr) {
      m_problems->push_back({section_line, section, "expected a section [" + section + "]"});
      continue;
    }
    for (const auto& [key, node] : *table) {
      if (known->second.count(std::string(key.str())) == 0) {
        m_problems->push_back({static_cast<int>(node.source().begin.line),
                               section + "." + std::string(key.str()), "unknown key"});
      }
    }
  }
}

}  // namespace azuregw
