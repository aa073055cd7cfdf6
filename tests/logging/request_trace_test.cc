// Tests which log lines of several instances belong to the trace of a request.

#include "azuregw/logging/request_trace.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace azuregw {
namespace {

std::string Line(int64_t time_ms, const std::string& instance, const std::string& event,
                 const std::string& rest) {
  return R"({"time_ms":)" + std::to_string(time_ms) + R"(,"instance":")" + instance +
         R"(","failure_domain":"a","event":")" + event + "\"" + rest + "}";
}

RequestTrace BuildTrace(const std::vector<std::string>& lines, const std::string& id) {
  RequestTrace trace(id);
  for (const std::string& line : lines) {
    trace.FindRequest(line);
  }
  for (const std::string& line : lines) {
    trace.FindStateChanges(line);
  }
  return trace;
}

std::vector<std::string> Events(const RequestTrace& trace) {
  std::vector<std::string> events;
  for (const auto& line : trace.Lines()) {
    events.push_back(line["event"].get<std::string>());
  }
  return events;
}

BOOST_AUTO_TEST_SUITE(request_trace)

// Guards against a trace without its cause: the engine on the path was marked suspect by an attempt
// of another request.
BOOST_AUTO_TEST_CASE(state_changes_of_the_upstreams_on_the_path_are_included) {
  const std::vector<std::string> lines = {
      Line(900, "i1", "upstream_suspect", R"(,"upstream":"e1","request_id":"other")"),
      Line(1000, "i1", "stream_attempt", R"(,"request_id":"r1","path":["e0=0-8","e1=8-16"])"),
      Line(1010, "i1", "stream_attempt", R"(,"request_id":"other","path":["e1=8-16"])"),
      Line(1300, "i1", "upstream_suspect", R"(,"upstream":"e9")"),
      Line(1500, "i1", "request_closed", R"(,"request_id":"r1","outcome":"broken_off")")};
  const std::vector<std::string> expected = {"upstream_suspect", "stream_attempt",
                                             "request_closed"};
  BOOST_TEST(Events(BuildTrace(lines, "r1")) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(instance_events_are_included_for_instances_that_handled_the_request) {
  const std::vector<std::string> lines = {
      Line(100, "i1", "store_lost", ""), Line(2000, "i1", "store_lost", ""),
      Line(2000, "i2", "store_lost", ""),
      Line(4000, "i1", "request_rejected", R"(,"request_id":"r1","status":503)"),
      Line(4100, "i1", "store_regained", "")};
  const std::vector<std::string> expected = {"store_lost", "request_rejected"};
  BOOST_TEST(Events(BuildTrace(lines, "r1")) == expected, boost::test_tools::per_element());
}

// Guards against a search that stops at a line of another program, such as a benchmark or an
// orchestrator.
BOOST_AUTO_TEST_CASE(prefixes_are_accepted_and_malformed_lines_are_skipped) {
  const std::vector<std::string> lines = {
      "",
      "{\"request_id\":\"r1\"",
      "r1 is mentioned here",
      "{\"request_id\":\"r1\"}",
      " 12.5 node " + Line(1000, "i1", "plain_attempt", R"(,"request_id":"r1","upstream":"s1")"),
      "[" + Line(1001, "i1", "request_closed", R"(,"request_id":"r1")").substr(0, 40)};
  const RequestTrace trace = BuildTrace(lines, "r1");
  BOOST_TEST(trace.Lines().size() == 1U);
  BOOST_TEST(trace.Text() == "+0 ms  i1  plain_attempt  upstream=s1\n");
}

BOOST_AUTO_TEST_CASE(unknown_request_is_not_found) {
  BOOST_TEST(!BuildTrace({Line(1, "i1", "start", "")}, "r1").Found());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
