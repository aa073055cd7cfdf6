// Splits a command line into a command, its arguments and its flags. No I/O. gflags holds the
// flags; this parser adds subcommands, flags per subcommand and errors in place of an exit of the
// process.

#ifndef SRC_CLI_COMMAND_LINE_H_
#define SRC_CLI_COMMAND_LINE_H_

#include <gsl/span>
#include <map>
#include <string>
#include <vector>

#include "azuregw/base/result.h"

namespace azuregw {

enum class FlagKind { kValue, kSwitch };

struct FlagSpec {
  const char* name;  // Without dashes, such as "timeout_ms".
  FlagKind kind;
  std::string help;
};

struct CommandSpec {
  const char* name;       // Such as "preset use".
  const char* arguments;  // Such as "NAME [FILE]".
  size_t min_arguments;
  size_t max_arguments;
  const char* help;
  std::vector<const char*> flags;  // Names of accepted flags.
};

struct CommandLine {
  const CommandSpec* command = nullptr;
  std::vector<std::string> arguments;
  std::map<std::string, std::string> flags;  // Switches have the value "true".
  bool help = false;
};

// `words` are the arguments of the process without its name. Dashes inside flag names may be
// written as '-' or '_'. Errors: kUsage with a text that says what was expected.
Result<CommandLine> ParseCommandLine(gsl::span<const std::string> words,
                                     gsl::span<const CommandSpec> commands,
                                     gsl::span<const FlagSpec> flags);

// Help of one command.
std::string CommandHelp(const CommandSpec& command, gsl::span<const FlagSpec> flags);

// Help of the whole program.
std::string ProgramHelp(gsl::span<const CommandSpec> commands);

}  // namespace azuregw

#endif  // SRC_CLI_COMMAND_LINE_H_
