// Tests the output of commands for given responses of instances.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/json_table.h"
#include "cli/revision_count.h"
#include "cli/table.h"

namespace azuregw {
namespace {

using nlohmann::json;

AdminResponse Response(const std::string& name, const std::string& body) {
  AdminResponse response;
  response.target.name = name;
  response.body = body;
  return response;
}

BOOST_AUTO_TEST_SUITE(output)

BOOST_AUTO_TEST_CASE(table_columns_are_aligned) {
  BOOST_TEST(FormatTable({"A", "LONG"}, {{"wide cell", "1"}, {"x"}}) ==
             "A          LONG\nwide cell  1\nx\n");
}

BOOST_AUTO_TEST_CASE(json_table_omits_absent_columns) {
  const json rows = json::parse(R"([{"a":1,"b":"x"},{"b":null,"c":true}])");
  BOOST_TEST(JsonTable(rows, {"a", "b", "d"}) == "A  B\n1  x\n\n");
}

// Guards against sorting by wall clock, which differs between instances: that of the second
// instance is ahead.
BOOST_AUTO_TEST_CASE(events_of_instances_are_merged_by_hybrid_clock) {
  const json first = json::parse(
      R"({"events":[{"hlc":1,"time_ms":1000,"event":"a"},{"hlc":4,"time_ms":1004,"event":"d"}]})");
  const json second = json::parse(
      R"({"events":[{"hlc":2,"time_ms":9002,"event":"b"},{"hlc":3,"time_ms":9003,"event":"c"}]})");
  const json merged = MergeEvents({first, second, json(7), json::object()});
  std::string order;
  for (const json& event : merged) {
    order += event["event"].get<std::string>();
  }
  BOOST_TEST(order == "abcd");
  BOOST_TEST(merged[1]["time"] == "1970-01-01T00:00:09.002Z");
}

// Guards against counting an unreachable instance, and against not counting one with a later
// revision.
BOOST_AUTO_TEST_CASE(instances_with_at_least_the_revision_are_counted) {
  AdminResponse unreachable;
  unreachable.target.address = "127.0.0.1:9";
  const RevisionCount count = CountRevision(
      {Response("gw-1", R"({"revision":5})"), Response("gw-2", R"({"revision":6})"),
       Response("gw-3", R"({"revision":4})"), Response("gw-4", "damaged"), unreachable},
      5);
  BOOST_TEST(count.instances == 5u);
  BOOST_TEST(count.have == 2u);
  BOOST_TEST(count.missing == (std::vector<std::string>{"gw-3 (revision 4)", "gw-4 (revision 0)",
                                                        "127.0.0.1:9 (no answer)"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
