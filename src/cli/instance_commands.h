// Commands that talk to the admin ports of instances.

#ifndef SRC_CLI_INSTANCE_COMMANDS_H_
#define SRC_CLI_INSTANCE_COMMANDS_H_

#include "cli/context.h"

namespace azuregw {

int Status(const CommandContext& context);
int Drain(const CommandContext& context);
int Timeline(const CommandContext& context);
int Refusals(const CommandContext& context);
int UpstreamLeaving(const CommandContext& context);
int UpstreamReturned(const CommandContext& context);

}  // namespace azuregw

#endif  // SRC_CLI_INSTANCE_COMMANDS_H_
