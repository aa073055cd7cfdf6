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
    const auto statements = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(1, 1000), rc::gen::arbitrary<bool>()));
    const StatedFact fact = *rc::gen::element(StatedFact::kLeaving, StatedFact::kClosed);
    const auto add = [fact](UpstreamStatements* record, const std::pair<int, bool>& statement) {
      const auto [end, here] = statement;
      record->Add(fact, kNow + Milliseconds(end),
                  here ? StatementSource::kAnswer : StatementSource::kInstance, kNow);
    };
    UpstreamStatements forward;
    UpstreamStatements backward;
    for (const auto& statement : statements) {
      add(&forward, statement);
    }
    for (auto statement = statements.rbegin(); statement != statements.rend(); ++statement) {
      add(&backward, *statement);
      add(&backward, *statement);
    }
    for (const StatementSource source : {StatementSource::kAnswer, StatementSource::kInstance}) {
      RC_ASSERT(forward.Of(fact, source).until == backward.Of(fact, source).until);
    }
  });
  BOOST_TEST(holds);
}

// The same for rate limits, which later answers change or end.
BOOST_AUTO_TEST_CASE(merge_of_rate_limits_does_not_depend_on_the_order_of_arrival) {
  const bool holds = rc::check("merge of rate limits", [] {
    const auto ages = *rc::gen::unique<std::vector<int>>(rc::gen::inRange(1, 1000));
    // Each statement names its own time, so that the result shows which one counts.
    const auto add = [](UpstreamStatements* record, int age) {
      record->MergeRateLimit(age % 4 == 0 ? std::nullopt : std::optional<double>(age),
                             kNow - Milliseconds(age));
    };
    UpstreamStatements forward;
    UpstreamStatements backward;
    for (const int age : ages) {
      add(&forward, age);
    }
    for (auto age = ages.rbegin(); age != ages.rend(); ++age) {
      add(&backward, *age);
      add(&backward, *age);
    }
    RC_ASSERT(forward.RateLimit(kNow) == backward.RateLimit(kNow));
  });
  BOOST_TEST(holds);
}

// Guards against a leaving that a list undoes: an older page, or a restored store.
BOOST_AUTO_TEST_CASE(leaving_survives_a_list_that_says_ready) {
  Fleet fleet;
  const UpstreamRecord ready = Engine();
  fleet.Update({ready}, kNow);
  fleet.OnLeaving("e1", kNow);
  fleet.Update({ready}, kNow + Milliseconds(500));
  BOOST_TEST(!fleet.Find("e1")->Usable(kNow + Milliseconds(500)));
  // The entry is missing for a moment.
  fleet.Update({}, kNow + Milliseconds(1000));
  fleet.Update({ready}, kNow + Milliseconds(1500));
  BOOST_TEST(!fleet.Find("e1")->Usable(kNow + Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(leaving_ends_with_the_process) {
  Fleet fleet;
  UpstreamRecord record = Engine();
  fleet.Update({record}, kNow);
  fleet.OnLeaving("e1", kNow);
  ++record.started_ms;
  fleet.Update({record}, kNow + Milliseconds(500));
  BOOST_TEST(fleet.Find("e1")->Usable(kNow + Milliseconds(500)));
}

// Guards against a false statement that takes an upstream away for good.
BOOST_AUTO_TEST_CASE(leaving_expires) {
  Fleet fleet;
  fleet.Update({Engine()}, kNow);
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
  heard.Update({Engine()}, kNow);
  told.Update({Engine()}, kNow);
  restarted.Update({next}, kNow);
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
  // The statement comes back to the instance that heard it, which goes on relaying it.
  ApplyTotals(totals, {}, 1, numbers, &heard, later + Milliseconds(100));
  BOOST_TEST(BuildLoadReport(heard, numbers, 1, later + Milliseconds(100)).statements.size() == 1U);
  BOOST_TEST(!told.Find("e1")->Usable(later));
  BOOST_TEST(restarted.Find("e1")->Usable(later));
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].statement.source == StatementSource::kInstance));
  // Statements do not go back and forth, and are not relayed for as long as they hold.
  BOOST_TEST(BuildLoadReport(told, numbers, 3, later).statements.empty());
  const TimePoint relayed = kNow + UpstreamStatements::kRelayTime;
  BOOST_TEST(BuildLoadReport(heard, numbers, 1, relayed).statements.empty());
}

// Guards against an upstream that all instances avoid because one of them has been turned away.
BOOST_AUTO_TEST_CASE(closing_binds_the_instance_that_heard_it_and_is_a_preference_at_others) {
  UpstreamNumbers numbers;
  numbers.Learn(5, "e1");
  Fleet heard;
  Fleet told;
  heard.Update({Engine()}, kNow);
  told.Update({Engine()}, kNow);
  heard.OnClosed("e1", Milliseconds(1000), kNow);
  FleetLoadTable table;
  table.SetReport(1, BuildLoadReport(heard, numbers, 1, kNow), kNow);
  const TimePoint later = kNow + Milliseconds(100);
  const LoadReport totals = table.Totals(later);
  ApplyTotals(totals, {}, 1, numbers, &heard, later);
  ApplyTotals(totals, {}, 2, numbers, &told, later);
  BOOST_TEST(!heard.Find("e1")->Accepts(kNow + Milliseconds(999)));
  BOOST_TEST(heard.Find("e1")->Usable(kNow + Milliseconds(1000)));
  BOOST_TEST(told.Find("e1")->Accepts(later));
  BOOST_TEST(!told.Find("e1")->Usable(kNow + Milliseconds(999)));
  BOOST_TEST(told.Find("e1")->Usable(kNow + Milliseconds(1000)));
  // A shorter time does not end a longer one.
  heard.OnClosed("e1", Milliseconds(2000), kNow);
  heard.OnClosed("e1", Milliseconds(10), kNow);
  BOOST_TEST(!heard.Find("e1")->Accepts(kNow + Milliseconds(1999)));
}

BOOST_AUTO_TEST_CASE(closing_is_bounded) {
  Fleet fleet;
  fleet.Update({Engine()}, kNow);
  fleet.OnClosed("e1", Milliseconds(86400000), kNow);
  BOOST_TEST(fleet.Find("e1")->Usable(kNow + UpstreamStatements::kMaxClosedTime));
}

// Guards against callers that come back before the layers can be served, or long after.
BOOST_AUTO_TEST_CASE(delay_is_that_of_the_layer_that_opens_last) {
  Fleet fleet;
  std::vector<UpstreamRecord> records;
  for (const char* id : {"low0", "low1", "high0", "empty"}) {
    const bool low = id[0] == 'l';
    records.push_back(EngineRecordOf(id, "a", "fast", low ? LayerRange{0, 8} : LayerRange{8, 16}));
  }
  records.back().layers.reset();
  fleet.Update(records, kNow);
  fleet.OnClosed("low0", Milliseconds(300), kNow);
  BOOST_TEST((fleet.StartDelay("model", kNow) == Milliseconds(0)));
  fleet.OnClosed("low1", Milliseconds(500), kNow);
  BOOST_TEST((fleet.StartDelay("model", kNow) == Milliseconds(300)));
  fleet.OnClosed("high0", Milliseconds(900), kNow);
  BOOST_TEST((fleet.StartDelay("model", kNow) == Milliseconds(900)));
  BOOST_TEST((fleet.StartDelay("model", kNow + Milliseconds(900)) == Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
