// Dispatch of subcommands.

#include "azuregw/cli/commands.h"

#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "azuregw/cli/exit_code.h"
#include "azuregw/config/settings.h"
#include "azuregw/serve/serve.h"

DEFINE_string(config, "", "serve: settings file");

namespace azuregw {
namespace {

int Fail(const Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " (" << ResultCodeName(error.code)
            << "): " << error.message << "\n";
  return static_cast<int>(ExitCodeOf(error.code));
}

int Serve() {
  const Result<Settings> settings = LoadSettings(FLAGS_config);
  if (!settings) {
    return Fail(settings.error());
  }
  return RunServe(settings.value());
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.size() == 1 && words[0] == "serve") {
    return Serve();
  }
  return Fail(NotRun(ResultCode::kUsage, "expected: azuregw serve --config FILE"));
}

}  // namespace azuregw
