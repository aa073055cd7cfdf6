// Checks the relations between the members of a preset.

#ifndef SRC_PRESET_PRESET_VALIDATOR_H_
#define SRC_PRESET_PRESET_VALIDATOR_H_

#include <vector>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {

// Checks references between members, unique addresses and keys, symmetric links and layer coverage.
// Appends all problems found; skips members that ReadPreset has reported as missing.
void ValidatePreset(const Preset& preset, std::vector<PresetProblem>* problems);

}  // namespace azuregw

#endif  // SRC_PRESET_PRESET_VALIDATOR_H_
