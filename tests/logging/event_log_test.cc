// Tests the format, the rate limit and the bounded buffer of the event log.

#include "azuregw/logging/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/fake_loop.h"

namespace azuregw {
namespace {

using nlohmann::json;

struct Fixture {
  Fixture() {
    BOOST_REQUIRE(pipe(ends) == 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    log = MakeEventLog(&loop, &SystemClock(), {"i1", "a", ends[1]});
  }
  ~Fixture() {
    log.reset();
    close(ends[0]);
    close(ends[1]);
  }
  std::vector<json> Lines() {
    std::string text = std::move(partial_line);
    char buffer[65536];
    for (ssize_t n = read(ends[0], buffer, sizeof(buffer)); n > 0;
         n = read(ends[0], buffer, sizeof(buffer))) {
      text.append(buffer, static_cast<size_t>(n));
    }
    // A full pipe may end in the middle of a line.
    const size_t complete_bytes = text.rfind('\n') + 1;
    partial_line = text.substr(complete_bytes);
    text.resize(complete_bytes);
    std::vector<json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(json::parse(line));
    }
    return lines;
  }

  int ends[2];
  std::string partial_line;
  FakeLoop loop;
  std::unique_ptr<EventLog> log;
};

BOOST_AUTO_TEST_SUITE(event_log)

BOOST_AUTO_TEST_CASE(lines_are_json_with_time_instance_and_event) {
  Fixture f;
  f.log->Write("start", {{"text", "line\nbreak \xff"}}, true);
  f.loop.Advance(Milliseconds(250));
  const auto lines = f.Lines();
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["instance"] == "i1");
  BOOST_TEST(lines[0]["event"] == "start");
  BOOST_TEST(lines[0].contains("time_ms"));
}

// Guards against a log volume that grows with the load.
BOOST_AUTO_TEST_CASE(lines_above_the_rate_limit_are_counted) {
  Fixture f;
  for (int i = 0; i < 1000; ++i) {
    f.log->Write("routine", {{"i", i}}, false);
  }
  f.log->Write("other", {}, false);
  f.loop.Advance(Milliseconds(1100));
  f.log->Write("routine", {}, false);
  f.loop.Advance(Milliseconds(250));
  const auto lines = f.Lines();
  BOOST_TEST(lines.size() < 100U);
  bool counted = false;
  bool other = false;
  for (const json& line : lines) {
    counted = counted || (line["event"] == "lines_left_out" && line["of"] == "routine" &&
                          line["count"].get<int>() > 900);
    other = other || line["event"] == "other";
  }
  BOOST_TEST(counted);
  BOOST_TEST(other);
}

// Guards against traffic that stalls because the reader of standard output has stopped.
BOOST_AUTO_TEST_CASE(unread_output_does_not_block_the_writer) {
  Fixture f;
  const std::string filler(2000, 'x');
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < 250; ++i) {
      f.log->Write("important", {{"filler", filler}}, true);
    }
    f.loop.Advance(Milliseconds(1000));
  }
  BOOST_TEST(!f.Lines().empty());
  f.loop.Advance(Milliseconds(1000));
  bool dropped = false;
  for (int round = 0; round < 10; ++round) {
    f.loop.Advance(Milliseconds(250));
    for (const json& line : f.Lines()) {
      dropped = dropped || line["event"] == "lines_dropped";
    }
  }
  BOOST_TEST(dropped);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
