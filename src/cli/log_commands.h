// Commands that read log files of instances.

#ifndef SRC_CLI_LOG_COMMANDS_H_
#define SRC_CLI_LOG_COMMANDS_H_

#include "cli/context.h"

namespace azuregw {

// Prints the trace of a request from event logs and returns the exit code of the process.
int Explain(const CommandContext& context);

}  // namespace azuregw

#endif  // SRC_CLI_LOG_COMMANDS_H_
