// The subcommands of the azuregw binary.

#ifndef AZUREGW_CLI_COMMANDS_H_
#define AZUREGW_CLI_COMMANDS_H_

namespace azuregw {

// Runs the command line and returns the exit code of the process.
int RunCommandLine(int argc, char** argv);

}  // namespace azuregw

#endif  // AZUREGW_CLI_COMMANDS_H_
