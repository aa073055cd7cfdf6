// Table of the commands and flags of the azuregw binary.

#ifndef SRC_CLI_COMMAND_TABLE_H_
#define SRC_CLI_COMMAND_TABLE_H_

#include <gsl/span>

#include "cli/command_line.h"

namespace azuregw {

// Returns all commands, in the order of the help.
gsl::span<const CommandSpec> AllCommands();
// Returns all flags that a command may accept.
gsl::span<const FlagSpec> AllFlags();

// Stores the flags of `line` in gflags, which checks their types. Errors: kUsage.
Result<void> ApplyFlags(const CommandLine& line);

}  // namespace azuregw

#endif  // SRC_CLI_COMMAND_TABLE_H_
