// The story of one request, put together from the logs of several instances: its own lines, and
// what the instances that had it came to believe meanwhile about the upstreams it met.

#ifndef AZUREGW_LOGGING_REQUEST_TRACE_H_
#define AZUREGW_LOGGING_REQUEST_TRACE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azuregw {

class RequestTrace {
 public:
  // Changes of belief are told from this long before the request's first line at an instance.
  static constexpr int64_t kStateChangeLookbackMs = 3000;

  explicit RequestTrace(std::string request_id) : m_request_id(std::move(request_id)) {}

  // All lines of all files are passed to FindRequest() first, and then again to FindStateChanges(). A
  // line may have any text before its JSON object; lines without one are skipped.
  void FindRequest(std::string_view line);
  void FindStateChanges(std::string_view line);

  bool Found() const { return !m_lines.empty(); }
  // In order of time. Clocks of instances differ, so lines of one instance are in order, those of
  // different ones only as far as their clocks agree.
  std::vector<nlohmann::ordered_json> Lines() const;
  // One line each: milliseconds since the first one, instance, event and the other fields.
  std::string Text() const;

 private:
  struct Span {
    int64_t first_ms;
    int64_t last_ms;
  };

  const std::string m_request_id;
  std::vector<nlohmann::ordered_json> m_lines;
  std::map<std::string, Span> m_instances;  // Where the request was, and when.
  std::set<std::string> m_upstreams;        // That its lines name.
};

}  // namespace azuregw

#endif  // AZUREGW_LOGGING_REQUEST_TRACE_H_
