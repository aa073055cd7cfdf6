// Reads typed fields of one JSON object and collects problems with their JSON pointers.

#ifndef SRC_PRESET_JSON_READER_H_
#define SRC_PRESET_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {

// Appends a reference token to a JSON pointer, escaped as RFC 6901 asks.
std::string JoinPointer(const std::string& path, const std::string& token);

// The object and the problem list must outlive the reader.
class JsonReader {
 public:
  enum class Need { kRequired, kOptional };

  // A value that is not an object is reported once and then read as an empty object.
  JsonReader(const nlohmann::json& value, std::string path, std::vector<PresetProblem>* problems);

  // All readers leave `out` unchanged unless a valid value was found.
  void String(const char* key, Need need, std::string* out);
  void Address(const char* key, std::string* out);
  void Bool(const char* key, bool* out);
  void Int(const char* key, Need need, int64_t min, int64_t max, int* out);
  void Int64(const char* key, Need need, int64_t min, int64_t max, int64_t* out);
  void Number(const char* key, Need need, double min, double max, double* out);
  void Strings(const char* key, std::vector<std::string>* out);

  // The member `key` as an object, or an empty object.
  const nlohmann::json& Object(const char* key, Need need);
  const nlohmann::json& Array(const char* key);

  bool IsObject() const { return m_is_object; }
  void Report(const std::string& key, std::string message);
  // Reports every member that no reader asked for.
  void ReportUnknown();
  std::string PathOf(const std::string& key) const { return JoinPointer(m_path, key); }

 private:
  const nlohmann::json* Find(const char* key, Need need, const char* expected);

  const nlohmann::json& m_object;
  std::string m_path;
  std::vector<PresetProblem>* m_problems;
  bool m_is_object;
  std::set<std::string> m_known;
};

}  // namespace azuregw

#endif  // SRC_PRESET_JSON_READER_H_
