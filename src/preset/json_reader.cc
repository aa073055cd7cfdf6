// Implements typed access to the members of a JSON object.

#include "preset/json_reader.h"

#include <utility>

#include "config/settings_reader.h"

namespace azuregw {
namespace {

const nlohmann::json& EmptyObject() {
  static const auto* const object = new nlohmann::json(nlohmann::json::object());
  return *object;
}

const nlohmann::json& EmptyArray() {
  static const auto* const array = new nlohmann::json(nlohmann::json::array());
  return *array;
}

std::string RangeText(int64_t min, int64_t max) {
  return "expected an integer from " + std::to_string(min) + " to " + std::to_string(max);
}

}  // namespace

std::string JoinPointer(const std::string& path, const std::string& token) {
  std::string joined = path + "/";
  for (const char c : token) {
    if (c == '~') {
      joined += "~0";
    } else if (c == '/') {
      joined += "~1";
    } else {
      joined += c;
    }
  }
  return joined;
}

JsonReader::JsonReader(const nlohmann::json& value, std::string path,
                       std::vector<PresetProblem>* problems)
    : m_object(value.is_object() ? value : EmptyObject()),
      m_path(std::move(path)),
      m_problems(problems),
      m_is_object(value.is_object()) {
  if (!m_is_object) {
    m_problems->push_back({m_path, "expected an object"});
  }
}

const nlohmann::json* JsonReader::Find(const char* key, Need need, const char* expected) {
  m_read_keys.insert(key);
  const auto it = m_object.find(key);
  if (it != m_object.end()) {
    return &*it;
  }
  if (need == Need::kRequired && m_is_object) {
    Report(key, std::string("missing; expected ") + expected);
  }
  return nullptr;
}

void JsonReader::Report(const std::string& key, std::string message) {
  m_problems->push_back({PathOf(key), std::move(message)});
}

void JsonReader::String(const char* key, Need need, std::string* out) {
  const nlohmann::json* value = Find(key, need, "a string");
  if (value == nullptr) {
    return;
  }
  if (!value->is_string() ||
      (need == Need::kRequired && value->get_ref<const std::string&>() == "")) {
    Report(key, "expected a non-empty string");
    return;
  }
  *out = value->get<std::string>();
}

void JsonReader::Address(const char* key, std::string* out) {
  const nlohmann::json* value = Find(key, Need::kRequired, "\"IP:port\"");
  if (value == nullptr) {
    return;
  }
  if (!value->is_string() || !IsAddress(value->get_ref<const std::string&>())) {
    Report(key, "expected \"IP:port\" with a numeric IPv4 address");
    return;
  }
  *out = value->get<std::string>();
}

void JsonReader::Bool(const char* key, bool* out) {
  const nlohmann::json* value = Find(key, Need::kOptional, "true or false");
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    Report(key, "expected true or false");
    return;
  }
  *out = value->get<bool>();
}

void JsonReader::Int64(const char* key, Need need, int64_t min, int64_t max, int64_t* out) {
  const nlohmann::json* value = Find(key, need, "an integer");
  if (value == nullptr) {
    return;
  }
  // An unsigned value above INT64_MAX exceeds every `max`, and get<int64_t>() would wrap it.
  const bool fits = value->is_number_integer() &&
                    (!value->is_number_unsigned() || value->get<uint64_t>() <= INT64_MAX);
  if (!fits || value->get<int64_t>() < min || value->get<int64_t>() > max) {
    Report(key, RangeText(min, max));
    return;
  }
  *out = value->get<int64_t>();
}

void JsonReader::Int(const char* key, Need need, int64_t min, int64_t max, int* out) {
  int64_t wide = *out;
  Int64(key, need, min, max, &wide);
  *out = static_cast<int>(wide);
}

void JsonReader::Number(const char* key, Need need, double min, double max, double* out) {
  const nlohmann::json* value = Find(key, need, "a number");
  if (value == nullptr) {
    return;
  }
  if (!value->is_number() || !(value->get<double>() >= min && value->get<double>() <= max)) {
    Report(key, "expected a number from " + nlohmann::json(min).dump() + " to " +
                    nlohmann::json(max).dump());
    return;
  }
  *out = value->get<double>();
}

void JsonReader::Strings(const char* key, std::vector<std::string>* out) {
  std::vector<std::string> strings;
  for (const nlohmann::json& item : Array(key)) {
    if (!item.is_string()) {
      Report(key, "expected an array of strings");
      return;
    }
    strings.push_back(item.get<std::string>());
  }
  *out = std::move(strings);
}

const nlohmann::json& JsonReader::Object(const char* key, Need need) {
  const nlohmann::json* value = Find(key, need, "an object");
  if (value == nullptr) {
    return EmptyObject();
  }
  if (!value->is_object()) {
    Report(key, "expected an object");
    return EmptyObject();
  }
  return *value;
}

const nlohmann::json& JsonReader::Array(const char* key) {
  const nlohmann::json* value = Find(key, Need::kOptional, "an array");
  if (value == nullptr) {
    return EmptyArray();
  }
  if (!value->is_array()) {
    Report(key, "expected an array");
    return EmptyArray();
  }
  return *value;
}

void JsonReader::ReportUnknown() {
  for (const auto& [key, value] : m_object.items()) {
    if (m_read_keys.count(key) == 0) {
      m_problems->push_back({PathOf(key), "unknown member", true});
    }
  }
}

}  // namespace azuregw
