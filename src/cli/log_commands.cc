// `azuregw explain`.

#include "cli/log_commands.h"

#include <gflags/gflags.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/logging/request_trace.h"

DECLARE_bool(json);

namespace azuregw {
namespace {

Result<void> ForEachLine(const std::vector<std::string>& paths,
                         const std::function<void(std::string_view)>& use) {
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      return NotRun(ResultCode::kUsage, path + ": cannot be read");
    }
    std::string line;
    while (std::getline(file, line)) {
      use(line);
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace

int Explain(const CommandContext& context) {
  const std::string& request_id = context.Arguments().front();
  const std::vector<std::string> paths(context.Arguments().begin() + 1, context.Arguments().end());
  RequestTrace story(request_id);
  const Result<void> first =
      ForEachLine(paths, [&story](std::string_view line) { story.FindRequest(line); });
  if (!first) {
    return context.Fail(first.error());
  }
  if (!story.Found()) {
    return context.Fail(
        NotRun(ResultCode::kUsage, "no line of these files names request " + request_id +
                                       "; it may have reached another instance, or none"));
  }
  const Result<void> second =
      ForEachLine(paths, [&story](std::string_view line) { story.FindStateChanges(line); });
  if (!second) {
    return context.Fail(second.error());
  }
  if (FLAGS_json) {
    for (const nlohmann::ordered_json& line : story.Lines()) {
      std::cout << line.dump() << "\n";
    }
  } else {
    std::cout << story.Text();
  }
  return static_cast<int>(ExitCode::kSuccess);
}

}  // namespace azuregw
