// Command line parser and help texts.

#include "cli/command_line.h"

#include <algorithm>
#include <utility>

namespace azuregw {
namespace {

Error UsageError(std::string message) {
  return NotRun(ResultCode::kUsage, std::move(message) + "; see azuregw --help");
}

// Returns the name of the flag in "--name" or "--name=value", with '_' between its words.
std::string ParseFlagName(const std::string& word) {
  std::string name = word.substr(2, word.find('=') - 2);
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

const FlagSpec* FindFlag(gsl::span<const FlagSpec> flags, const std::string& name) {
  const auto found = std::find_if(flags.begin(), flags.end(),
                                  [&name](const FlagSpec& flag) { return name == flag.name; });
  return found == flags.end() ? nullptr : &*found;
}

bool IsHelpWord(const std::string& word) {
  return word == "--help" || word == "-h" || word == "help";
}

// Returns the number of leading words of `positional` that form the name of `command`, which has
// one or two words. Returns 0 if they are not its name.
size_t CountMatchingWords(const CommandSpec& command, const std::vector<std::string>& positional) {
  const std::string name = command.name;
  const size_t space = name.find(' ');
  if (positional.empty() || positional[0] != name.substr(0, space)) {
    return 0;
  }
  if (space == std::string::npos) {
    return 1;
  }
  return positional.size() > 1 && positional[1] == name.substr(space + 1) ? 2 : 0;
}

// Command line split into flags and other words.
struct SplitWords {
  std::vector<std::string> positional;
  std::map<std::string, std::string> flags;
  bool help = false;
};

// Separates flags and their values from the other words. Errors: kUsage.
Result<SplitWords> SplitFlags(gsl::span<const std::string> words, gsl::span<const FlagSpec> flags) {
  SplitWords split;
  for (size_t i = 0; i < words.size(); ++i) {
    const std::string& word = words[i];
    if (IsHelpWord(word)) {
      split.help = true;
      continue;
    }
    if (word.compare(0, 2, "--") != 0) {
      split.positional.push_back(word);
      continue;
    }
    const std::string name = ParseFlagName(word);
    const FlagSpec* flag = FindFlag(flags, name);
    if (flag == nullptr) {
      return UsageError("unknown flag " + word);
    }
    const size_t equals = word.find('=');
    if (equals != std::string::npos) {
      split.flags[name] = word.substr(equals + 1);
    } else if (flag->kind == FlagKind::kSwitch) {
      split.flags[name] = "true";
    } else if (i + 1 < words.size()) {
      split.flags[name] = words[++i];
    } else {
      return UsageError("flag --" + name + " expects a value");
    }
  }
  return split;
}

// Checks that `command` accepts all flags. Errors: kUsage.
Result<void> CheckFlags(const CommandSpec& command, const SplitWords& split) {
  for (const auto& [name, value] : split.flags) {
    const bool accepted =
        std::any_of(command.flags.begin(), command.flags.end(),
                    [&flag = name](const char* accepted_name) { return flag == accepted_name; });
    if (!accepted) {
      return UsageError("azuregw " + std::string(command.name) + " does not accept the flag --" +
                        name);
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<CommandLine> ParseCommandLine(gsl::span<const std::string> words,
                                     gsl::span<const CommandSpec> commands,
                                     gsl::span<const FlagSpec> flags) {
  Result<SplitWords> parts = SplitFlags(words, flags);
  if (!parts) {
    return parts.error();
  }
  SplitWords& split = parts.value();
  CommandLine line;
  line.help = split.help;
  size_t matched = 0;
  for (const CommandSpec& command : commands) {
    matched = CountMatchingWords(command, split.positional);
    if (matched > 0) {
      line.command = &command;
      break;
    }
  }
  if (line.help) {
    return line;
  }
  if (line.command == nullptr) {
    return UsageError(split.positional.empty() ? "expected a command"
                                               : "unknown command " + split.positional[0]);
  }
  line.arguments.assign(split.positional.begin() + static_cast<std::ptrdiff_t>(matched),
                        split.positional.end());
  if (line.arguments.size() < line.command->min_arguments ||
      line.arguments.size() > line.command->max_arguments) {
    return UsageError("expected: azuregw " + std::string(line.command->name) + " " +
                      line.command->arguments);
  }
  const Result<void> checked = CheckFlags(*line.command, split);
  if (!checked) {
    return checked.error();
  }
  line.flags = std::move(split.flags);
  return line;
}

std::string CommandHelp(const CommandSpec& command, gsl::span<const FlagSpec> flags) {
  std::string text =
      "azuregw " + std::string(command.name) + " " + command.arguments + "\n" + command.help + "\n";
  for (const char* name : command.flags) {
    const FlagSpec* flag = FindFlag(flags, name);
    if (flag != nullptr) {
      const char* value = flag->kind == FlagKind::kValue ? "=VALUE" : "";
      text += "  --" + std::string(name) + value + "  " + flag->help + "\n";
    }
  }
  return text;
}

std::string ProgramHelp(gsl::span<const CommandSpec> commands) {
  std::string text = "usage: azuregw COMMAND [ARGUMENTS] [FLAGS]\n";
  for (const CommandSpec& command : commands) {
    std::string line = "  " + std::string(command.name) + " " + command.arguments;
    line.resize(std::max<size_t>(line.size() + 2, 36), ' ');
    text += line + command.help + "\n";
  }
  return text + "azuregw COMMAND --help describes one command.\n";
}

}  // namespace azuregw
