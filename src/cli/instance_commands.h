// Commands about instances, upstreams and refused requests.

#ifndef SRC_CLI_INSTANCE_COMMANDS_H_
#define SRC_CLI_INSTANCE_COMMANDS_H_

#include "cli/context.h"

namespace azuregw {

// Each function runs one command and returns the exit code of the process. All but Refusals() call
// the admin ports of instances; Refusals() reads the key-value service.

int Status(const CommandContext& context);
int Drain(const CommandContext& context);
int Timeline(const CommandContext& context);
int Refusals(const CommandContext& context);
int UpstreamLeaving(const CommandContext& context);
int UpstreamReturned(const CommandContext& context);

}  // namespace azuregw

#endif  // SRC_CLI_INSTANCE_COMMANDS_H_
