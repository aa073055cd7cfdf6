// Selects the log lines that belong to a request.

#include "azuregw/logging/request_trace.h"

#include <algorithm>
#include <optional>

namespace azuregw {
namespace {

using nlohmann::ordered_json;

// Events that concern every request of the instance.
constexpr std::string_view kInstanceEvents[] = {
    "start",          "stop",         "stopping",       "reload",    "reload_failed",
    "config_adopted", "store_lost",   "store_regained", "readiness", "config_unreadable",
    "lines_left_out", "lines_dropped"};

// Parses the JSON object in `line`. Returns nullopt unless it has a time, an instance and an event.
std::optional<ordered_json> ParseLogLine(std::string_view line) {
  const size_t begin = line.find("{\"");
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  ordered_json parsed = ordered_json::parse(line.substr(begin), nullptr, false);
  if (!parsed.is_object() || !parsed.contains("time_ms") || !parsed["time_ms"].is_number() ||
      !parsed.contains("instance") || !parsed["instance"].is_string() ||
      !parsed.contains("event") || !parsed["event"].is_string()) {
    return std::nullopt;
  }
  return parsed;
}

// Returns the value of `field`, or an empty string if it is missing or not a string.
std::string StringField(const ordered_json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

void RequestTrace::FindRequest(std::string_view line) {
  // Avoids parsing lines that do not contain the request ID, which are most of them.
  if (line.find(m_request_id) == std::string_view::npos) {
    return;
  }
  std::optional<ordered_json> parsed = ParseLogLine(line);
  if (!parsed || StringField(*parsed, "request_id") != m_request_id) {
    return;
  }
  const int64_t time_ms = (*parsed)["time_ms"].get<int64_t>();
  const auto time_range =
      m_instances.emplace(StringField(*parsed, "instance"), TimeRange{time_ms, time_ms}).first;
  time_range->second.first_ms = std::min(time_range->second.first_ms, time_ms);
  time_range->second.last_ms = std::max(time_range->second.last_ms, time_ms);
  if (const std::string upstream = StringField(*parsed, "upstream"); !upstream.empty()) {
    m_upstreams.insert(upstream);
  }
  if (const auto path = parsed->find("path"); path != parsed->end() && path->is_array()) {
    for (const ordered_json& hop : *path) {
      const std::string text = hop.is_string() ? hop.get<std::string>() : std::string();
      m_upstreams.insert(text.substr(0, text.find('=')));
    }
  }
  m_lines.push_back(std::move(*parsed));
}

void RequestTrace::FindStateChanges(std::string_view line) {
  std::optional<ordered_json> parsed = ParseLogLine(line);
  if (!parsed || StringField(*parsed, "request_id") == m_request_id) {
    return;
  }
  const auto time_range = m_instances.find(StringField(*parsed, "instance"));
  const int64_t time_ms = (*parsed)["time_ms"].get<int64_t>();
  if (time_range == m_instances.end() ||
      time_ms < time_range->second.first_ms - kStateChangeLookbackMs ||
      time_ms > time_range->second.last_ms) {
    return;
  }
  const std::string event = StringField(*parsed, "event");
  const bool is_instance_event = std::find(std::begin(kInstanceEvents), std::end(kInstanceEvents),
                                           event) != std::end(kInstanceEvents);
  // Attempts of other requests at the same upstreams are not state changes.
  const bool is_upstream_event = event.rfind("upstream", 0) == 0 || event.rfind("engine", 0) == 0;
  if (is_instance_event ||
      (is_upstream_event && m_upstreams.count(StringField(*parsed, "upstream")) > 0)) {
    m_lines.push_back(std::move(*parsed));
  }
}

std::vector<ordered_json> RequestTrace::Lines() const {
  std::vector<ordered_json> lines = m_lines;
  std::stable_sort(lines.begin(), lines.end(), [](const ordered_json& a, const ordered_json& b) {
    return a["time_ms"].get<int64_t>() < b["time_ms"].get<int64_t>();
  });
  return lines;
}

std::string RequestTrace::Text() const {
  std::string text;
  std::optional<int64_t> first_ms;
  for (const ordered_json& line : Lines()) {
    const int64_t time_ms = line["time_ms"].get<int64_t>();
    first_ms = first_ms.value_or(time_ms);
    text += "+" + std::to_string(time_ms - *first_ms) + " ms  " + StringField(line, "instance") +
            "  " + StringField(line, "event");
    for (const auto& [field, value] : line.items()) {
      if (field != "time_ms" && field != "instance" && field != "event" &&
          field != "failure_domain" && field != "request_id") {
        text += "  " + field + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
      }
    }
    text += "\n";
  }
  return text;
}

}  // namespace azuregw
