// The command `azuregw explain`.

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

// Calls `process_line` for each line of the files, in order. Errors: kUsage if a file cannot be
// read.
Result<void> ForEachLine(const std::vector<std::string>& paths,
                         const std::function<void(std::string_view)>& process_line) {
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      return NotRun(ResultCode::kUsage, path + ": cannot read the log file");
    }
    std::string line;
    while (std::getline(file, line)) {
      process_line(line);
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace

int Explain(const CommandContext& context) {
  const std::string& request_id = context.Arguments().front();
  const std::vector<std::string> paths(context.Arguments().begin() + 1, context.Arguments().end());
  RequestTrace trace(request_id);
  const Result<void> first =
      ForEachLine(paths, [&trace](std::string_view line) { trace.FindRequest(line); });
  if (!first) {
    return context.Fail(first.error());
  }
  if (!trace.Found()) {
    return context.Fail(
        NotRun(ResultCode::kUsage,
               "no line in these files has the request ID " + request_id +
                   "; the request may have been handled by another instance, or by none"));
  }
  const Result<void> second =
      ForEachLine(paths, [&trace](std::string_view line) { trace.FindStateChanges(line); });
  if (!second) {
    return context.Fail(second.error());
  }
  if (FLAGS_json) {
    for (const nlohmann::ordered_json& line : trace.Lines()) {
      std::cout << line.dump() << "\n";
    }
  } else {
    std::cout << trace.Text();
  }
  return static_cast<int>(ExitCode::kSuccess);
}

}  // namespace azuregw
