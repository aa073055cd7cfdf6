// Trace of one request, assembled from the event logs of several instances.

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

// Collects the log lines of one request, and the state changes that may explain its outcome: those
// of the upstreams on its path and those of the instances that handled it.
//
// Pass all lines of all files to FindRequest() first, then all of them again to FindStateChanges().
// A line may have any text before its JSON object; lines without a valid object are ignored.
class RequestTrace {
 public:
  // State changes are included from this long before the first line of the request at an instance.
  static constexpr int64_t kStateChangeLookbackMs = 3000;

  explicit RequestTrace(std::string request_id) : m_request_id(std::move(request_id)) {}

  // Adds `line` if it has the ID of the request, and records its instance, time and upstreams.
  void FindRequest(std::string_view line);
  // Adds `line` if it is a state change that concerns the lines found by FindRequest().
  void FindStateChanges(std::string_view line);

  // Returns whether any line has been added.
  bool Found() const { return !m_lines.empty(); }
  // Returns the lines sorted by wall-clock time. Lines of one instance are in order; those of
  // different instances only as far as their clocks agree.
  std::vector<nlohmann::ordered_json> Lines() const;
  // Formats the lines for reading: milliseconds since the first line, instance, event and the other
  // fields.
  std::string Text() const;

 private:
  // Period in which an instance handled the request, as Unix time in ms.
  struct TimeRange {
    int64_t first_ms;
    int64_t last_ms;
  };

  const std::string m_request_id;
  std::vector<nlohmann::ordered_json> m_lines;
  std::map<std::string, TimeRange> m_instances;  // Instances that handled the request.
  std::set<std::string> m_upstreams;             // Upstreams named in the lines of the request.
};

}  // namespace azuregw

#endif  // AZUREGW_LOGGING_REQUEST_TRACE_H_
