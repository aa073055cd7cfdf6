// Tests that each log line is one JSON object, whatever bytes the message contains.

#include "azuregw/logging/log.h"

#include <glog/logging.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace azuregw {
namespace {

using nlohmann::json;

// Runs `write` in a child process and returns the lines of its stderr. A child is needed because
// logging can be initialized only once per process.
template <class Write>
std::vector<std::string> CaptureStderrLines(const Write& write) {
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDERR_FILENO);
    write();
    _exit(0);
  }
  close(ends[1]);
  std::string text;
  char buffer[4096];
  for (ssize_t count = read(ends[0], buffer, sizeof(buffer)); count > 0;
       count = read(ends[0], buffer, sizeof(buffer))) {
    text.append(buffer, static_cast<size_t>(count));
  }
  close(ends[0]);
  int status = 0;
  waitpid(child, &status, 0);
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

BOOST_AUTO_TEST_SUITE(logging)

BOOST_AUTO_TEST_CASE(line_has_the_documented_members_in_order) {
  const std::string line = FormatLogLine({"gw-1", "fd-a"}, "T", LogLevel::kWarning, "control",
                                         "event", "r1", ResultCode::kKvConflict, "text");
  BOOST_TEST(line == R"({"time":"T","level":"warning","instance":"gw-1","failure_domain":"fd-a",)"
                     R"("component":"control","event":"event","request_id":"r1","code":4002,)"
                     R"("message":"text"})");
}

// Guards against line feeds and invalid UTF-8 in a message, which make log collectors lose lines.
BOOST_AUTO_TEST_CASE(message_is_escaped_to_one_valid_line) {
  const std::string line =
      FormatLogLine({}, "T", LogLevel::kInfo, "c", "e", "", ResultCode::kOk, "a\nb\"c\\ \xff\xfe");
  BOOST_TEST(line.find('\n') == std::string::npos);
  BOOST_TEST(json::parse(line).at("message").get<std::string>().find("a\nb\"c\\ ") == 0u);
}

// Guards against plain LOG() lines that are not JSON, and against lines below the configured level.
BOOST_AUTO_TEST_CASE(all_output_is_json_and_filtered_by_level) {
  const std::vector<std::string> lines = CaptureStderrLines([] {
    InitLogging({"gw-1", "fd-a"}, LogLevel::kWarning);
    LogEvent(LogLevel::kInfo, "c", "hidden", "", ResultCode::kOk, "");
    LogEvent(LogLevel::kError, "c", "shown", "r7", ResultCode::kInternal, "m");
    LOG(INFO) << "hidden";
    LOG(WARNING) << "plain";
  });
  BOOST_REQUIRE_EQUAL(lines.size(), 2u);
  const json event = json::parse(lines[0]);
  BOOST_TEST(event.at("event") == "shown");
  BOOST_TEST(event.at("request_id") == "r7");
  BOOST_TEST(event.at("code") == 9001);
  BOOST_TEST(event.at("instance") == "gw-1");
  const json plain = json::parse(lines[1]);
  BOOST_TEST(plain.at("component") == "process");
  BOOST_TEST(plain.at("message") == "plain");
  BOOST_TEST(plain.at("level") == "warning");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
