// Tests the parsing of command lines: a mistyped command must not run another one.

#include "cli/command_line.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "azuregw/cli/exit_code.h"
#include "cli/command_table.h"

namespace azuregw {
namespace {

Result<CommandLine> Parse(const std::vector<std::string>& words) {
  return ParseCommandLine(words, AllCommands(), AllFlags());
}

std::string FileText(const char* path) {
  std::ifstream file(path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

BOOST_AUTO_TEST_SUITE(command_line)

BOOST_AUTO_TEST_CASE(command_arguments_and_flags_are_separated) {
  const CommandLine line =
      Parse({"preset", "--kv=1.2.3.4:5", "use", "peak", "--expect", "7", "--json"}).value();
  BOOST_TEST(std::string(line.command->name) == "preset use");
  BOOST_TEST(line.arguments == std::vector<std::string>{"peak"}, boost::test_tools::per_element());
  BOOST_TEST(line.flags.at("kv") == "1.2.3.4:5");
  BOOST_TEST(line.flags.at("expect") == "7");
  BOOST_TEST(line.flags.at("json") == "true");
  BOOST_TEST(!!ApplyFlags(line));
}

BOOST_AUTO_TEST_CASE(invalid_command_lines_are_usage_errors) {
  const std::vector<std::vector<std::string>> lines = {
      {},
      {"presets"},
      {"preset"},
      {"preset", "use"},
      {"preset", "use", "a", "b"},
      {"preset", "use", "a", "--revision=1"},
      {"preset", "use", "a", "--unknown=1"},
      {"preset", "use", "a", "--kv"},
  };
  for (const std::vector<std::string>& words : lines) {
    const Result<CommandLine> line = Parse(words);
    BOOST_REQUIRE(!line);
    BOOST_TEST((line.error().code == ResultCode::kUsage));
  }
  BOOST_TEST(!ApplyFlags(Parse({"preset", "use", "a", "--expect=x"}).value()));
}

BOOST_AUTO_TEST_CASE(help_takes_precedence_over_missing_arguments) {
  const CommandLine line = Parse({"preset", "use", "--help"}).value();
  BOOST_TEST(line.help);
  BOOST_TEST(CommandHelp(*line.command, AllFlags()).find("--expect") != std::string::npos);
  BOOST_TEST(Parse({"--help"}).value().help);
}

// Guards against commands and flags that are missing from the manual.
BOOST_AUTO_TEST_CASE(manual_describes_every_command_and_flag) {
  const std::string manual = FileText("docs/operators.md");
  for (const CommandSpec& command : AllCommands()) {
    BOOST_TEST(manual.find("azuregw " + std::string(command.name)) != std::string::npos,
               command.name);
    for (const char* flag : command.flags) {
      BOOST_TEST(manual.find("--" + std::string(flag)) != std::string::npos, flag);
    }
  }
}

// Guards against changed exit codes: scripts of operators distinguish conflicts and unknown
// outcomes from other failures by them.
BOOST_AUTO_TEST_CASE(exit_codes_are_distinct) {
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kOk)) == 0);
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kInternal)) == 1);
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kUsage)) == 2);
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kPresetConflict)) == 4);
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kPresetOutcomeUnknown)) == 5);
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kKvUnavailable)) == 6);
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kWaitTimeout)) == 7);
  BOOST_TEST(static_cast<int>(ExitCodeOf(ResultCode::kPortInUse)) == 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
