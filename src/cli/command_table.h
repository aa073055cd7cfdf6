// All commands and flags of the azuregw binary.

#ifndef SRC_CLI_COMMAND_TABLE_H_
#define SRC_CLI_COMMAND_TABLE_H_

#include <gsl/span>

#include "cli/command_line.h"

namespace azuregw {

gsl::span<const CommandSpec> AllCommands();
gsl::span<const FlagSpec> AllFlags();

// Gives the flags of `line` to gflags, which checks their types. Errors: kUsage.
Result<void> ApplyFlags(const CommandLine& line);

}  // namespace azuregw

#endif  // SRC_CLI_COMMAND_TABLE_H_
