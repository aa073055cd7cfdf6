// Commands that read log files.

#ifndef SRC_CLI_LOG_COMMANDS_H_
#define SRC_CLI_LOG_COMMANDS_H_

#include "cli/context.h"

namespace azuregw {

int Explain(const CommandContext& context);

}  // namespace azuregw

#endif  // SRC_CLI_LOG_COMMANDS_H_
