// Dispatches the command line to the function of the subcommand.

#include "azuregw/cli/commands.h"

#include <gflags/gflags.h>
#include <pplx/threadpool.h>

#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "azuregw/cli/exit_code.h"
#include "azuregw/config/settings.h"
#include "azuregw/serve/platform_gateway.h"
#include "azuregw/serve/serve.h"
#include "cli/command_line.h"
#include "cli/command_table.h"
#include "cli/context.h"
#include "cli/instance_commands.h"
#include "cli/log_commands.h"
#include "cli/preset_commands.h"

DECLARE_string(config);

namespace azuregw {
namespace {

constexpr const char* kVersion = "0.1.0";
// Threads of the HTTP client in commands that do not run an instance.
constexpr size_t kClientThreads = 4;

int Serve(const CommandContext& context) {
  if (FLAGS_config.empty()) {
    return context.Fail(NotRun(ResultCode::kUsage, "expected --config FILE"));
  }
  const Result<Settings> settings = LoadSettings(FLAGS_config);
  if (!settings) {
    return context.Fail(settings.error());
  }
  return RunServe(settings.value());
}

int Gateway(const CommandContext& /*context*/) { return RunPlatformGateway(); }

int ConfigCheck(const CommandContext& context) {
  const Result<Settings> settings = LoadSettings(context.Arguments()[0]);
  if (!settings) {
    return context.Fail(settings.error());
  }
  std::cout << "valid\n";
  return static_cast<int>(ExitCode::kSuccess);
}

int Version(const CommandContext& /*context*/) {
  std::cout << "azuregw " << kVersion << "\n";
  return static_cast<int>(ExitCode::kSuccess);
}

using CommandFunction = int (*)(const CommandContext& context);

// Returns the function of a command in AllCommands(). Throws std::out_of_range for other names.
CommandFunction FindFunction(const std::string& command) {
  static const auto* const functions = new std::map<std::string, CommandFunction>{
      {"serve", Serve},
      {"gateway", Gateway},
      {"preset validate", PresetValidate},
      {"preset create", PresetCreate},
      {"preset edit", PresetEdit},
      {"preset use", PresetUse},
      {"preset show", PresetShow},
      {"preset list", PresetList},
      {"preset diff", PresetDiff},
      {"preset status", PresetStatus},
      {"preset wait", PresetWait},
      {"status", Status},
      {"drain", Drain},
      {"upstream leaving", UpstreamLeaving},
      {"upstream returned", UpstreamReturned},
      {"refusals", Refusals},
      {"timeline", Timeline},
      {"explain", Explain},
      {"config check", ConfigCheck},
      {"version", Version},
  };
  return functions->at(command);
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const Result<CommandLine> line = ParseCommandLine(words, AllCommands(), AllFlags());
  if (!line) {
    return CommandContext(CommandLine()).Fail(line.error());
  }
  const CommandSpec* command = line.value().command;
  if (line.value().help) {
    std::cout << (command == nullptr ? ProgramHelp(AllCommands())
                                     : CommandHelp(*command, AllFlags()));
    return static_cast<int>(ExitCode::kSuccess);
  }
  const Result<void> applied = ApplyFlags(line.value());
  if (!applied) {
    return CommandContext(line.value()).Fail(applied.error());
  }
  const std::string name = command->name;
  if (name != "serve" && name != "gateway") {
    crossplat::threadpool::initialize_with_threads(kClientThreads);
  }
  return FindFunction(name)(CommandContext(line.value()));
}

}  // namespace azuregw
