// Tests of what upstreams state about themselves: merging, relaying and the end of statements.

#include "azuregw/fleet/upstream_statements.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/fleet/fleet_load_table.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

UpstreamRecord Engine() { return EngineRecordOf("e1", "a", "fast", LayerRange{0, 8}); }

BOOST_AUTO_TEST_SUITE(upstream_statements)

// Guards against an older statement that undoes a newer one.
BOOST_AUTO_TEST_CASE(merge_does_not_depend_on_the_order_of_arrival) {
  const bool holds = rc::check("merge", [] {
    const auto ends = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000));
    UpstreamStatements forward;
    UpstreamStatements backward;
    for (const int end : ends) {
      forward.Add(StatedFact::kLeaving, kNow + Milliseconds(end), StatementSource::kInstance, kNow);
    }
    for (auto end = ends.rbegin(); end != ends.rend(); ++end) {
      backward.Add(StatedFact::kLeaving, kNow + Milliseconds(*end), StatementSource::kAnswer, kNow);
      backward.Add(StatedFact::kLeaving, kNow + Milliseconds(*end), StatementSource::kAnswer, kNow);
    }
    RC_ASSERT(forward.Of(StatedFact::kLeaving).until == backward.Of(StatedFact::kLeaving).until);
  });
  BOOST_TEST(holds);
}

// Guards against a leaving that a list undoes: an older page, or a restored store.
BOOST_AUTO_TEST_CASE(leaving_survives_a_list_that_says_ready) {
  Fleet fleet;
  const UpstreamRecord ready = Engine();
  fleet.Update({ready}, false, kNow);
  fleet.OnLeaving("e1", kNow);
  fleet.Update({ready}, false, kNow + Milliseconds(500));
  BOOST_TEST(!fleet.Find("e1")->Usable(kNow + Milliseconds(500)));
  // The entry is missing for a moment.
  fleet.Update({}, false, kNow + Milliseconds(1000));
  fleet.Update({ready}, false, kNow + Milliseconds(1500));
  BOOST_TEST(!fleet.Find("e1")->Usable(kNow + Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(leaving_ends_with_the_process) {
  Fleet fleet;
  UpstreamRecord record = Engine();
  fleet.Update({record}, false, kNow);
  fleet.OnLeaving("e1", kNow);
  ++record.started_ms;
  fleet.Update({record}, false, kNow + Milliseconds(500));
  BOOST_TEST(fleet.Find("e1")->Usable(kNow + Milliseconds(500)));
}

// Guards against a false statement that takes an upstream away for good.
BOOST_AUTO_TEST_CASE(leaving_expires) {
  Fleet fleet;
  fleet.Update({Engine()}, false, kNow);
  fleet.OnLeaving("e1", kNow);
  BOOST_TEST(fleet.Find("e1")->Usable(kNow + UpstreamStatements::kLeavingTtl));
}

// Load pattern: one of many instances hears that an upstream leaves.
BOOST_AUTO_TEST_CASE(statement_heard_by_one_instance_counts_at_all) {
  UpstreamNumbers numbers;
  numbers.Learn(5, "e1");
  Fleet heard;
  Fleet told;
  Fleet restarted;  // Knows the next process under the ID already.
  UpstreamRecord next = Engine();
  ++next.started_ms;
  heard.Update({Engine()}, false, kNow);
  told.Update({Engine()}, false, kNow);
  restarted.Update({next}, false, kNow);
  int reports = 0;
  heard.SetHealthReportListener([&reports] { ++reports; });
  std::vector<StatementChange> changes;
  told.SetStatementListener(
      [&changes](const StatementChange& change) { changes.push_back(change); });
  heard.OnLeaving("e1", kNow);
  heard.OnLeaving("e1", kNow);
  BOOST_TEST(reports == 1);
  FleetLoadTable table;
  table.SetReport(1, BuildLoadReport(heard, numbers, 1, kNow + Milliseconds(100)),
                  kNow + Milliseconds(100));
  table.SetReport(2, BuildLoadReport(heard, numbers, 1, kNow + Milliseconds(200)),
                  kNow + Milliseconds(200));
  const TimePoint later = kNow + Milliseconds(300);
  const LoadReport totals = table.Totals(later);
  BOOST_REQUIRE(totals.statements.size() == 1U);
  for (Fleet* fleet : {&told, &restarted}) {
    ApplyTotals(totals, {}, 3, numbers, fleet, later);
    ApplyTotals(totals, {}, 3, numbers, fleet, later);
  }
  BOOST_TEST(!told.Find("e1")->Usable(later));
  BOOST_TEST(restarted.Find("e1")->Usable(later));
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].statement.source == StatementSource::kInstance));
  // Statements do not go back and forth, and are not relayed for as long as they hold.
  BOOST_TEST(BuildLoadReport(told, numbers, 3, later).statements.empty());
  const TimePoint relayed = kNow + UpstreamStatements::kRelayTime;
  BOOST_TEST(BuildLoadReport(heard, numbers, 1, relayed).statements.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
