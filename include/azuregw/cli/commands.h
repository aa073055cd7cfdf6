// Entry point of the command line of the azuregw binary.

#ifndef AZUREGW_CLI_COMMANDS_H_
#define AZUREGW_CLI_COMMANDS_H_

namespace azuregw {

// Runs the command given by the arguments of main() and returns the exit code of the process.
// Prints errors on stderr.
int RunCommandLine(int argc, char** argv);

}  // namespace azuregw

#endif  // AZUREGW_CLI_COMMANDS_H_
