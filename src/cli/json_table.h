// JSON documents as tables, and the merge of events of several instances. No I/O.

#ifndef SRC_CLI_JSON_TABLE_H_
#define SRC_CLI_JSON_TABLE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace azuregw {

// One row per object of the array `rows`; columns are the given members, those of no row left out.
std::string JsonTable(const nlohmann::json& rows, const std::vector<std::string>& columns);

// The members "events" of the documents in one array, ordered by "time" and then as given.
nlohmann::json MergeEvents(const std::vector<nlohmann::json>& documents);

}  // namespace azuregw

#endif  // SRC_CLI_JSON_TABLE_H_
