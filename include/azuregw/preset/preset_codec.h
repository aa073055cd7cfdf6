// JSON form of a preset (docs/assumptions.md) and its validation.

#ifndef AZUREGW_PRESET_PRESET_CODEC_H_
#define AZUREGW_PRESET_PRESET_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

struct PresetProblem {
  std::string path;     // JSON pointer, such as "/models/design/layers".
  std::string message;  // What was expected.
  bool unknown_member = false;
};

struct PresetParseResult {
  Preset preset;  // Complete only when `problems` is empty.
  std::vector<PresetProblem> problems;
};

// Reads and validates a document; reports every problem.
PresetParseResult ParsePreset(const nlohmann::json& document);

nlohmann::json PresetToJson(const Preset& preset);

// Reads and validates JSON text. Errors: kPresetInvalid with one line "path: message" per problem.
Result<Preset> DecodePreset(std::string_view text);

// As DecodePreset, but ignores unknown members: during an upgrade, a newer azuregw may have put a
// preset in force whose added members this process does not know. For readers of the preset in
// force; operators' commands use DecodePreset.
Result<Preset> DecodeActivePreset(std::string_view text);

// Compact JSON text with sorted keys; equal presets have equal texts.
std::string EncodePreset(const Preset& preset);

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_CODEC_H_
