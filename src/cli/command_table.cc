// Table of commands and flags with their help.

#include "cli/command_table.h"

#include <gflags/gflags.h>

#include <string>
#include <vector>

DEFINE_string(config, "",
              "settings file; other commands than serve read addresses and keys from it");
DEFINE_string(kv, "", "address of the key-value service, IP:port; default: AZUREGW_KV");
DEFINE_string(list, "", "address of the instance list, IP:port; default: AZUREGW_LIST");
DEFINE_string(admin, "", "admin addresses of instances, separated by commas; overrides the list");
DEFINE_string(key_file, "", "file that contains the admin key; default: AZUREGW_ADMIN_KEY");
DEFINE_uint64(call_timeout_ms, 3000, "timeout of one call, in ms; default 3000");
DEFINE_bool(json, false, "print JSON instead of tables");
DEFINE_string(author, "", "author of the change; default: the user name");
DEFINE_uint64(expect, 0, "change only if this revision is in force");
DEFINE_uint64(expect_version, 0, "change only if the preset has this version");
DEFINE_uint64(revision, 0, "revision to wait for");
DEFINE_uint64(timeout_ms, 30000, "maximum time to wait, in ms; default 30000");
DEFINE_uint64(hours, 24, "hours to include, up to now; default 24");
DEFINE_string(request, "", "only events of this request");
DEFINE_uint64(since_ms, 0, "only events after this time, in ms since the Unix epoch");

namespace azuregw {

namespace {

// Maximum number of files for `explain`. Exceeds the number of instances of any fleet.
constexpr int kMaxLogFiles = 4000;

// Flags offered by the commands; gflags defines others of its own.
constexpr const char* kFlagNames[] = {
    "config",          "kv",         "list",    "admin",    "key_file",
    "call_timeout_ms", "json",       "author",  "expect",   "expect_version",
    "revision",        "timeout_ms", "request", "since_ms", "hours"};

}  // namespace

gsl::span<const FlagSpec> AllFlags() {
  static const std::vector<FlagSpec>* const flags = [] {
    auto* specs = new std::vector<FlagSpec>();
    for (const char* name : kFlagNames) {
      const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(name);
      specs->push_back(
          {name, info.type == "bool" ? FlagKind::kSwitch : FlagKind::kValue, info.description});
    }
    return specs;
  }();
  return *flags;
}

Result<void> ApplyFlags(const CommandLine& line) {
  for (const auto& [name, value] : line.flags) {
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
      return NotRun(ResultCode::kUsage,
                    "--" + name + ": expected " + info.type + ", found \"" + value + "\"");
    }
  }
  return boost::outcome_v2::success();
}

gsl::span<const CommandSpec> AllCommands() {
  static const auto* const commands = new std::vector<CommandSpec>{
      {"serve", "", 0, 0, "runs an instance", {"config"}},
      {"gateway", "", 0, 0, "runs an instance with the settings of the platform", {}},
      {"preset validate", "FILE", 1, 1, "checks a preset and reports every error", {"json"}},
      {"preset create",
       "NAME FILE",
       2,
       2,
       "stores a new named preset",
       {"kv", "config", "call_timeout_ms", "json"}},
      {"preset edit",
       "NAME FILE",
       2,
       2,
       "replaces a named preset",
       {"kv", "config", "call_timeout_ms", "json", "expect_version"}},
      {"preset use",
       "NAME",
       1,
       1,
       "puts a named preset in force",
       {"kv", "config", "call_timeout_ms", "json", "author", "expect", "expect_version"}},
      {"preset show",
       "[NAME]",
       0,
       1,
       "prints a named preset, or the one in force",
       {"kv", "config", "call_timeout_ms", "json"}},
      {"preset list", "", 0, 0, "lists named presets", {"kv", "config", "call_timeout_ms", "json"}},
      {"preset diff",
       "FROM TO",
       2,
       2,
       "prints the changes between two presets; \"current\" is the one in force",
       {"kv", "config", "call_timeout_ms", "json"}},
      {"preset status",
       "",
       0,
       0,
       "prints the revision in force and who put it in force",
       {"kv", "config", "call_timeout_ms", "json"}},
      {"preset wait",
       "",
       0,
       0,
       "waits until all instances have the given revision",
       {"revision", "timeout_ms", "admin", "list", "config", "key_file", "call_timeout_ms",
        "json"}},
      {"status",
       "",
       0,
       0,
       "prints the state of the instances",
       {"admin", "list", "config", "key_file", "call_timeout_ms", "json"}},
      {"drain",
       "INSTANCE",
       1,
       1,
       "shuts an instance down gracefully",
       {"admin", "list", "config", "key_file", "call_timeout_ms", "json"}},
      {"upstream leaving",
       "NAME",
       1,
       1,
       "marks an upstream as leaving, so that it gets no new work",
       {"admin", "list", "config", "key_file", "call_timeout_ms"}},
      {"upstream returned",
       "NAME",
       1,
       1,
       "removes the leaving mark of an upstream",
       {"admin", "list", "config", "key_file", "call_timeout_ms"}},
      {"refusals",
       "",
       0,
       0,
       "prints the number of refused requests per minute",
       {"kv", "config", "call_timeout_ms", "json", "hours"}},
      {"timeline",
       "",
       0,
       0,
       "prints the events of all instances in causal order",
       {"admin", "list", "config", "key_file", "call_timeout_ms", "json", "request", "since_ms"}},
      {"explain",
       "REQUEST-ID FILE...",
       2,
       kMaxLogFiles,
       "prints the trace of a request from the log files of instances",
       {"json"}},
      {"config check", "FILE", 1, 1, "checks a settings file and reports every error", {}},
      {"version", "", 0, 0, "prints the version", {}},
  };
  return *commands;
}

}  // namespace azuregw
