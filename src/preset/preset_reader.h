// Reads the members of a preset document and checks each by itself. preset_validator.h checks the
// relations between them.

#ifndef SRC_PRESET_PRESET_READER_H_
#define SRC_PRESET_PRESET_READER_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {

// Stores the members of `document` in `out` and appends the problems found. Members that are absent
// or invalid keep their defaults.
void ReadPreset(const nlohmann::json& document, std::vector<PresetProblem>* problems, Preset* out);

}  // namespace azuregw

#endif  // SRC_PRESET_PRESET_READER_H_
