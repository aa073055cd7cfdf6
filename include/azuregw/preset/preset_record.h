// The record of the preset in force, under one key of the key-value service.

#ifndef AZUREGW_PRESET_PRESET_RECORD_H_
#define AZUREGW_PRESET_PRESET_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"

namespace azuregw {

constexpr std::string_view kPresetWatchPrefix = "azuregw/preset/";
constexpr std::string_view kCurrentPresetKey = "azuregw/preset/current";
constexpr std::string_view kNamedPresetPrefix = "azuregw/presets/";

// Changes kept in the record. An operator whose reply was lost finds its change as long as fewer
// changes followed it.
constexpr size_t kRecentChanges = 32;

struct PresetChange {
  std::string change_id;
  uint64_t revision = 0;
};

struct PresetRecord {
  uint64_t revision = 0;  // 1 for the first preset in force, then one more per change.
  std::string name;
  std::string change_id;  // Of this revision.
  std::string author;
  std::vector<PresetChange> recent_changes;  // Oldest first; the last one is this revision.
  std::string document;                      // JSON text of the preset.
};

// Errors: kPresetInvalid.
Result<PresetRecord> DecodePresetRecord(std::string_view text);
std::string EncodePresetRecord(const PresetRecord& record);

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_RECORD_H_
