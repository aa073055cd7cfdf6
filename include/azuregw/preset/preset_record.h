// Record of the active preset, stored under one key of the key-value service.

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

// Number of changes kept in the record. An operator whose reply was lost finds its change in the
// record as long as fewer changes than this followed it.
constexpr size_t kRecentChanges = 32;

// One activation of a preset.
struct PresetChange {
  std::string change_id;  // Unique over all processes.
  uint64_t revision = 0;
};

struct PresetRecord {
  uint64_t revision = 0;  // 1 for the first active preset, incremented by each change.
  std::string name;
  std::string change_id;  // ID of the change that made this revision.
  std::string author;
  std::vector<PresetChange> recent_changes;  // Oldest first; the last entry is this revision.
  std::string document;                      // JSON text of the preset.
};

// Parses the stored JSON text. Errors: kPresetInvalid (corrupt record).
Result<PresetRecord> DecodePresetRecord(std::string_view text);
// Returns the JSON text to store. `record.document` must be valid JSON.
std::string EncodePresetRecord(const PresetRecord& record);

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_RECORD_H_
