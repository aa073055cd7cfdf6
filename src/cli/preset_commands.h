// The commands `azuregw preset ...`.

#ifndef SRC_CLI_PRESET_COMMANDS_H_
#define SRC_CLI_PRESET_COMMANDS_H_

#include "cli/context.h"

namespace azuregw {

// Each function runs one command and returns the exit code of the process.

int PresetValidate(const CommandContext& context);
int PresetCreate(const CommandContext& context);
int PresetEdit(const CommandContext& context);
int PresetUse(const CommandContext& context);
int PresetShow(const CommandContext& context);
int PresetList(const CommandContext& context);
int PresetDiff(const CommandContext& context);
int PresetStatus(const CommandContext& context);
int PresetWait(const CommandContext& context);

}  // namespace azuregw

#endif  // SRC_CLI_PRESET_COMMANDS_H_
