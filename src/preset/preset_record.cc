// Encodes the record of the active preset as JSON and decodes it.

#include "azuregw/preset/preset_record.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace azuregw {

using nlohmann::json;

Result<PresetRecord> DecodePresetRecord(std::string_view text) {
  try {
    const json document = json::parse(text);
    PresetRecord record;
    document.at("revision").get_to(record.revision);
    document.at("name").get_to(record.name);
    document.at("change_id").get_to(record.change_id);
    document.at("author").get_to(record.author);
    for (const json& change : document.at("recent_changes")) {
      record.recent_changes.push_back(
          {change.at("change_id").get<std::string>(), change.at("revision").get<uint64_t>()});
    }
    record.document = document.at("preset").dump();
    return record;
  } catch (const json::exception& error) {
    return NotRun(ResultCode::kPresetInvalid,
                  "the record of the preset in force is damaged: " + std::string(error.what()));
  }
}

std::string EncodePresetRecord(const PresetRecord& record) {
  json changes = json::array();
  for (const PresetChange& change : record.recent_changes) {
    changes.push_back(json{{"change_id", change.change_id}, {"revision", change.revision}});
  }
  const json document = {
      {"revision", record.revision},          {"name", record.name},
      {"change_id", record.change_id},        {"author", record.author},
      {"recent_changes", std::move(changes)}, {"preset", json::parse(record.document)}};
  return document.dump();
}

}  // namespace azuregw
