// Formats JSON documents as tables and merges events of several instances.

#include "cli/json_table.h"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "azuregw/base/utc_text.h"
#include "cli/table.h"

namespace azuregw {

using nlohmann::json;

namespace {

// Returns the value of `column` as text: strings without quotes, empty for null or absent values.
std::string CellText(const json& row, const std::string& column) {
  const auto cell = row.find(column);
  if (cell == row.end() || cell->is_null()) {
    return "";
  }
  return cell->is_string() ? cell->get<std::string>() : cell->dump();
}

std::string ColumnTitle(std::string column) {
  std::transform(column.begin(), column.end(), column.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return column;
}

}  // namespace

std::string JsonTable(const json& rows, const std::vector<std::string>& columns) {
  std::vector<std::string> used;
  for (const std::string& column : columns) {
    const bool present = std::any_of(rows.begin(), rows.end(), [&column](const json& row) {
      return row.is_object() && row.contains(column);
    });
    if (present) {
      used.push_back(column);
    }
  }
  std::vector<std::string> header;
  std::transform(used.begin(), used.end(), std::back_inserter(header), ColumnTitle);
  std::vector<std::vector<std::string>> cells;
  for (const json& row : rows) {
    std::vector<std::string> line;
    for (const std::string& column : used) {
      line.push_back(row.is_object() ? CellText(row, column) : "");
    }
    cells.push_back(std::move(line));
  }
  return FormatTable(header, cells);
}

namespace {

// Returns UTC in ISO 8601 with milliseconds.
std::string FormatUtcTime(int64_t wall_ms) {
  char fraction[16];
  std::snprintf(fraction, sizeof(fraction), ".%03dZ", static_cast<int>(wall_ms % 1000));
  return UtcSecondsText(wall_ms / 1000) + fraction;
}

}  // namespace

json MergeEvents(const std::vector<json>& documents) {
  std::vector<json> events;
  for (const json& document : documents) {
    if (!document.is_object() || !document.contains("events") || !document["events"].is_array()) {
      continue;
    }
    for (const json& event : document["events"]) {
      events.push_back(event);
      if (event.is_object() && event.contains("time_ms")) {
        events.back()["time"] = FormatUtcTime(event["time_ms"].get<int64_t>());
      }
    }
  }
  // The hybrid logical clock preserves causal order where wall clocks differ.
  const auto hlc_of = [](const json& event) {
    return event.is_object() && event.contains("hlc") ? event["hlc"] : json();
  };
  std::stable_sort(events.begin(), events.end(),
                   [&hlc_of](const json& a, const json& b) { return hlc_of(a) < hlc_of(b); });
  return json(events);
}

}  // namespace azuregw
