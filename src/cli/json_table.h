// Formats JSON documents as tables and merges events of several instances. No I/O.

#ifndef SRC_CLI_JSON_TABLE_H_
#define SRC_CLI_JSON_TABLE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace azuregw {

// Formats one row per object of the array `rows`. Columns are the given members; those absent from
// all rows are omitted.
std::string JsonTable(const nlohmann::json& rows, const std::vector<std::string>& columns);

// Merges the arrays "events" of the documents, sorted by the member "hlc" of the events; events
// with equal values keep their order. Adds the member "time", in UTC, to events that have
// "time_ms".
nlohmann::json MergeEvents(const std::vector<nlohmann::json>& documents);

}  // namespace azuregw

#endif  // SRC_CLI_JSON_TABLE_H_
