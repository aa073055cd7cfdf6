// Reads the fields of a preset document; checks of relations between them are in
// preset_validator.h.

#ifndef SRC_PRESET_PRESET_READER_H_
#define SRC_PRESET_PRESET_READER_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {

void ReadPreset(const nlohmann::json& document, std::vector<PresetProblem>* problems, Preset* out);

}  // namespace azuregw

#endif  // SRC_PRESET_PRESET_READER_H_
