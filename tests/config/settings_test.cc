// Tests that an invalid settings file is refused with all errors and that the example file is
// valid.

#include "azuregw/config/settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace azuregw {
namespace {

std::string ExampleText() {
  std::ifstream file("docs/azuregw.example.toml");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const size_t at = text.find(from);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
  return text.replace(at, from.size(), to);
}

std::set<std::string> Keys(const SettingsReport& report) {
  std::set<std::string> keys;
  for (const SettingsProblem& problem : report.problems) {
    keys.insert(problem.key);
  }
  return keys;
}

BOOST_AUTO_TEST_SUITE(settings)

// Guards against an example file that is refused.
BOOST_AUTO_TEST_CASE(example_is_valid) {
  const SettingsReport report = ParseSettings(ExampleText());
  for (const SettingsProblem& problem : report.problems) {
    BOOST_ERROR(problem.key + ": " + problem.message);
  }
  BOOST_TEST(report.settings.instance.name == "gw-a1");
  BOOST_TEST(report.settings.peer.key.size() == 16u);
}

// Guards against defaults in the example that differ from the defaults in the code.
BOOST_AUTO_TEST_CASE(example_states_the_defaults) {
  const Settings example = ParseSettings(ExampleText()).settings;
  const Settings defaults;
  BOOST_TEST(example.caller.max_header_bytes == defaults.caller.max_header_bytes);
  BOOST_TEST(example.caller.max_stream_buffer_bytes == defaults.caller.max_stream_buffer_bytes);
  BOOST_TEST(example.caller.threads == defaults.caller.threads);
  BOOST_TEST((example.platform.call_timeout == defaults.platform.call_timeout));
  BOOST_TEST((example.log.level == defaults.log.level));
  BOOST_TEST((example.drain.limit == defaults.drain.limit));
  BOOST_TEST((example.drain.ready_delay == defaults.drain.ready_delay));
  BOOST_TEST((example.orders.flush_limit == defaults.orders.flush_limit));
}

// Guards against a key that the code reads and the example does not document.
BOOST_AUTO_TEST_CASE(example_documents_every_key) {
  std::set<std::string> documented;
  std::string section;
  std::istringstream lines(ExampleText());
  for (std::string line; std::getline(lines, line);) {
    if (line[0] == '[') {
      section = line.substr(1, line.find(']') - 1);
      continue;
    }
    // Alternatives such as "# key_file = ..." are commented out.
    const std::string text = line.compare(0, 2, "# ") == 0 ? line.substr(2) : line;
    const size_t equals = text.find(" = ");
    if (equals != std::string::npos && text.find(' ') == equals) {
      documented.insert(section + "." + text.substr(0, equals));
    }
  }
  const std::vector<std::string> keys = SettingsKeys();
  BOOST_TEST((documented == std::set<std::string>(keys.begin(), keys.end())));
  BOOST_TEST(keys.size() == 20u);
}

// Guards against an instance that starts without required settings.
BOOST_AUTO_TEST_CASE(required_keys_are_reported_when_missing) {
  const std::set<std::string> keys = Keys(ParseSettings(""));
  const std::set<std::string> expected = {"instance.name",
                                          "instance.failure_domain",
                                          "caller.address",
                                          "admin.address",
                                          "admin.key",
                                          "peer.address",
                                          "peer.key",
                                          "platform.kv_address",
                                          "platform.list_address"};
  BOOST_TEST((keys == expected));
}

// Guards against reporting only the first error.
BOOST_AUTO_TEST_CASE(all_problems_are_reported_with_lines) {
  std::string text = ExampleText();
  text = Replace(text, "\"0.0.0.0:8080\"", "\"localhost\"");
  text = Replace(text, "threads = 4", "threads = 0");
  text = Replace(text, "level = \"info\"", "level = \"loud\"");
  text = Replace(text, "limit_ms = 0", "limit_ms = \"none\"");
  text = Replace(text, "00112233445566778899aabbccddeeff", "0011");
  text = Replace(text, "[orders]", "[orders]\nfoo = 1");
  const SettingsReport report = ParseSettings(text);
  const std::set<std::string> expected = {"caller.address", "caller.threads", "log.level",
                                          "drain.limit_ms", "peer.key",       "orders.foo"};
  BOOST_TEST((Keys(report) == expected));
  BOOST_TEST(report.problems.size() == expected.size());
  for (const SettingsProblem& problem : report.problems) {
    BOOST_TEST(problem.line > 0);
  }
}

BOOST_AUTO_TEST_CASE(unknown_section_is_refused) {
  const SettingsReport report = ParseSettings(ExampleText() + "\n[cache]\nsize = 1\n");
  BOOST_TEST((Keys(report) == std::set<std::string>{"cache"}));
}

// Guards against silently ignoring one of two keys.
BOOST_AUTO_TEST_CASE(key_and_key_file_exclude_each_other) {
  const std::string text = Replace(ExampleText(), "# key_file = \"/etc/azuregw/peer.key\"",
                                   "key_file = \"/nonexistent/azuregw.key\"");
  BOOST_TEST((Keys(ParseSettings(text)) == std::set<std::string>{"peer.key"}));
}

BOOST_AUTO_TEST_CASE(syntax_error_is_reported_with_its_line) {
  const SettingsReport report = ParseSettings("[instance]\nname = \n");
  BOOST_REQUIRE_EQUAL(report.problems.size(), 1u);
  BOOST_TEST(report.problems[0].line == 2);
}

BOOST_AUTO_TEST_CASE(missing_file_is_unreadable) {
  const Result<Settings> result = LoadSettings("/nonexistent/azuregw.toml");
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().code == ResultCode::kSettingsUnreadable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
