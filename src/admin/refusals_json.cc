// Refusals as JSON.

#include "admin/refusals_json.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "azuregw/base/utc_text.h"

namespace azuregw {

using nlohmann::json;

namespace {

constexpr int64_t kMsPerHour = 3600000;

// UTC, such as "2026-01-02T03:04Z".
std::string MinuteText(int64_t minute) {
  const std::string text = UtcSecondsText(minute * 60);
  return text.substr(0, text.rfind(':')) + "Z";
}

}  // namespace

json RefusalTableToJson(const RefusalTable& table) {
  json rows = json::array();
  for (const RefusalRow& row : table.rows) {
    rows.push_back(json{{"minute", MinuteText(row.minute)},
                        {"failure_domain", row.failure_domain},
                        {"workspace", row.workspace},
                        {"reason", row.reason},
                        {"count", row.count}});
  }
  json minutes = json::array();
  for (const int64_t minute : table.refusal_minutes) {
    minutes.push_back(MinuteText(minute));
  }
  json incomplete = json::array();
  for (const auto& [minute, domains] : table.incomplete_minutes) {
    incomplete.push_back(json{{"minute", MinuteText(minute)}, {"failure_domains", domains}});
  }
  return json{{"rows", std::move(rows)},
              {"refusal_minutes", std::move(minutes)},
              {"incomplete_minutes", std::move(incomplete)}};
}

Result<json> ReadRefusals(KeyValueStore* store, int64_t hours, int64_t wall_ms) {
  const int64_t last_hour = wall_ms / kMsPerHour;
  const Result<RefusalTable> table =
      ReadRefusalTable(store, last_hour - hours + 1, last_hour, wall_ms);
  if (!table) {
    return table.error();
  }
  return RefusalTableToJson(table.value());
}

}  // namespace azuregw
