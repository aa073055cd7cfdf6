// Command line parser. gflags stores the values of flags; this parser adds subcommands, flags per
// subcommand, and errors instead of an exit of the process. No I/O.

#ifndef SRC_CLI_COMMAND_LINE_H_
#define SRC_CLI_COMMAND_LINE_H_

#include <gsl/span>
#include <map>
#include <string>
#include <vector>

#include "azuregw/base/result.h"

namespace azuregw {

enum class FlagKind { kValue, kSwitch };

// Description of one flag.
struct FlagSpec {
  const char* name;  // Name without leading dashes, such as "timeout_ms".
  FlagKind kind;     // Whether the flag has a value.
  std::string help;  // Description for --help.
};

// Description of one subcommand.
struct CommandSpec {
  const char* name;                // One or two words, such as "preset use".
  const char* arguments;           // Arguments as shown in the help, such as "NAME [FILE]".
  size_t min_arguments;            // Minimum number of arguments.
  size_t max_arguments;            // Maximum number of arguments.
  const char* help;                // Description for --help.
  std::vector<const char*> flags;  // Names of accepted flags.
};

// Parsed command line.
struct CommandLine {
  const CommandSpec* command = nullptr;      // Null only if `help` is true.
  std::vector<std::string> arguments;        // Words after the name of the command.
  std::map<std::string, std::string> flags;  // Values by name; "true" for a switch.
  bool help = false;                         // Help was requested; `flags` are empty.
};

// Parses `words`, the arguments of the process without its name. Words in the name of a flag may be
// separated by '-' or '_'. Errors: kUsage with a message that names the expected usage.
Result<CommandLine> ParseCommandLine(gsl::span<const std::string> words,
                                     gsl::span<const CommandSpec> commands,
                                     gsl::span<const FlagSpec> flags);

// Returns the help of one command.
std::string CommandHelp(const CommandSpec& command, gsl::span<const FlagSpec> flags);

// Returns the list of all commands.
std::string ProgramHelp(gsl::span<const CommandSpec> commands);

}  // namespace azuregw

#endif  // SRC_CLI_COMMAND_LINE_H_
