// Converts presets to and from JSON (docs/assumptions.md) and validates them.

#ifndef AZUREGW_PRESET_PRESET_CODEC_H_
#define AZUREGW_PRESET_PRESET_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

// A member of a preset document that is missing, unknown or invalid.
struct PresetProblem {
  std::string path;             // JSON pointer, such as "/models/design/layers".
  std::string message;          // Expected value.
  bool unknown_member = false;  // Whether the schema of this version lacks the member.
};

struct PresetParseResult {
  Preset preset;  // Valid only if `problems` is empty.
  std::vector<PresetProblem> problems;
};

// Parses and validates a document. Reports all problems, not only the first.
PresetParseResult ParsePreset(const nlohmann::json& document);

nlohmann::json PresetToJson(const Preset& preset);

// Parses and validates JSON text. Errors: kPresetInvalid with one line "path: message" per problem.
Result<Preset> DecodePreset(std::string_view text);

// Parses and validates the JSON text of the active preset, and ignores unknown members: during an
// upgrade, a newer version of azuregw may have activated a preset with members that this process
// does not know. Commands of operators use DecodePreset, which rejects such members. Errors:
// kPresetInvalid with one line "path: message" per problem.
Result<Preset> DecodeActivePreset(std::string_view text);

// Returns compact JSON text with sorted keys. Equal presets have equal texts.
std::string EncodePreset(const Preset& preset);

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_CODEC_H_
