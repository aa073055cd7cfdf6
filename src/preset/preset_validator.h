// Checks relations between the parts of a preset: references, layer coverage, unique addresses.

#ifndef SRC_PRESET_PRESET_VALIDATOR_H_
#define SRC_PRESET_PRESET_VALIDATOR_H_

#include <vector>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {

void ValidatePreset(const Preset& preset, std::vector<PresetProblem>* problems);

}  // namespace azuregw

#endif  // SRC_PRESET_PRESET_VALIDATOR_H_
