// Reads typed members of a JSON object and reports problems with their JSON pointers.

#ifndef SRC_PRESET_JSON_READER_H_
#define SRC_PRESET_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {

// Returns the JSON pointer `path` with `token` appended, escaped as in RFC 6901.
std::string JoinPointer(const std::string& path, const std::string& token);

// Reads one JSON object of a document. The object and the problem list must outlive the reader.
class JsonReader {
 public:
  enum class Need { kRequired, kOptional };

  // Reports a `value` that is not an object once, and then treats it as an empty object.
  JsonReader(const nlohmann::json& value, std::string path, std::vector<PresetProblem>* problems);

  // These functions store the member `key` in `out` if it is valid. Otherwise they leave `out`
  // unchanged, and report an invalid or a missing required member. `min` and `max` are inclusive.
  void String(const char* key, Need need, std::string* out);
  void Address(const char* key, std::string* out);
  void Bool(const char* key, bool* out);
  void Int(const char* key, Need need, int64_t min, int64_t max, int* out);
  void Int64(const char* key, Need need, int64_t min, int64_t max, int64_t* out);
  void Number(const char* key, Need need, double min, double max, double* out);
  void Strings(const char* key, std::vector<std::string>* out);

  // Returns the member `key`; if it is missing or of another type, an empty object or array.
  const nlohmann::json& Object(const char* key, Need need);
  const nlohmann::json& Array(const char* key);

  bool IsObject() const { return m_is_object; }
  // Adds a problem with the member `key`.
  void Report(const std::string& key, std::string message);
  // Reports each member of the object that was not read before this call.
  void ReportUnknown();
  // Returns the JSON pointer of the member `key`.
  std::string PathOf(const std::string& key) const { return JoinPointer(m_path, key); }

 private:
  // Returns the member `key`, or null. Reports a missing member if it is required.
  const nlohmann::json* Find(const char* key, Need need, const char* expected);

  const nlohmann::json& m_object;
  std::string m_path;  // JSON pointer of the object.
  std::vector<PresetProblem>* m_problems;
  bool m_is_object;
  std::set<std::string> m_read_keys;
};

}  // namespace azuregw

#endif  // SRC_PRESET_JSON_READER_H_
