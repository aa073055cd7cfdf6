// Beliefs about upstreams, and the load that instances share.

#include "azuregw/fleet/fleet.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/fleet/fleet_load_table.h"
#include "azuregw/fleet/upstream_picker.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

UpstreamRecord Plain(const std::string& id, const std::string& domain) {
  UpstreamRecord record = EngineRecordOf(id, domain, "", std::nullopt);
  record.service = "orders";
  record.slots = 6;
  return record;
}

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(removed_entry_is_gone_at_once_in_calm_times) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a"), Plain("s2", "a")}, false, kNow);
  const auto changes = fleet.Update({Plain("s2", "a")}, false, kNow);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].kind == FleetChange::Kind::kRemoved));
  BOOST_TEST(fleet.Find("s1") == nullptr);
}

// Guards against an empty fleet right after an outage in which the entries of live upstreams
// lapsed; they are listed again within 2 s, and those that are not are gone.
BOOST_AUTO_TEST_CASE(entries_that_lapsed_in_an_outage_are_kept_for_the_grace) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a"), Plain("s2", "a")}, false, kNow);
  BOOST_TEST(fleet.Update({}, true, kNow).empty());
  BOOST_TEST(fleet.All().size() == 2U);
  fleet.Update({Plain("s1", "a")}, false, kNow + Milliseconds(800));
  BOOST_TEST(fleet.All().size() == 2U);
  fleet.Update({Plain("s1", "a")}, false, kNow + Fleet::kRelistGrace + Milliseconds(1));
  BOOST_TEST(fleet.All().size() == 1U);
  BOOST_TEST(fleet.Find("s1") != nullptr);
}

// Guards against a restarted upstream that is still held to be broken.
BOOST_AUTO_TEST_CASE(restart_under_the_same_id_clears_suspicion) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a")}, false, kNow);
  BOOST_TEST(fleet.Suspect("s1", Milliseconds(5000), kNow));
  BOOST_TEST(!fleet.Suspect("s1", Milliseconds(1000), kNow));  // No news.
  BOOST_TEST(!fleet.Find("s1")->Usable(kNow));
  UpstreamRecord again = Plain("s1", "a");
  again.started_ms = 2;
  fleet.Update({again}, false, kNow);
  BOOST_TEST(fleet.Find("s1")->Usable(kNow));
}

BOOST_AUTO_TEST_CASE(draining_upstream_gets_no_new_work) {
  Fleet fleet;
  UpstreamRecord leaving = Plain("s1", "a");
  leaving.draining = true;
  fleet.Update({leaving, Plain("s2", "b")}, false, kNow);
  const auto random = MakeRandom(1);
  PickQuery query{"orders", "a", {}, kNow};
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(PickUpstream(fleet, query, random.get()) == "s2");
  }
  query.excluded.insert("s2");
  BOOST_TEST(PickUpstream(fleet, query, random.get()).empty());
}

// Load pattern: one of three upstreams stops answering. Guards against work for it, and against a
// refusal when all are suspect.
BOOST_AUTO_TEST_CASE(suspects_are_picked_last) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a"), Plain("s2", "b"), Plain("s3", "b")}, false, kNow);
  fleet.Suspect("s1", Milliseconds(1000), kNow);
  const auto random = MakeRandom(1);
  PickQuery query{"orders", "a", {}, kNow};
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(PickUpstream(fleet, query, random.get()) != "s1");
  }
  query.excluded = {"s2", "s3"};
  BOOST_TEST(PickUpstream(fleet, query, random.get()) == "s1");
}

BOOST_AUTO_TEST_CASE(least_loaded_upstream_is_picked) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a"), Plain("s2", "a")}, false, kNow);
  fleet.Reserve("s1", 0);
  fleet.Reserve("s1", 0);
  const auto random = MakeRandom(1);
  BOOST_TEST(PickUpstream(fleet, {"orders", "a", {}, kNow}, random.get()) == "s2");
  fleet.OnReportedLoad("s2", 12, kNow);
  BOOST_TEST(PickUpstream(fleet, {"orders", "a", {}, kNow}, random.get()) == "s1");
  // Its account grows old.
  BOOST_TEST(PickUpstream(fleet, {"orders", "a", {}, kNow + Milliseconds(600)}, random.get()) ==
             "s2");
}

// Guards against an instance that counts its own load twice, or keeps that of a dead one.
BOOST_AUTO_TEST_CASE(totals_are_taken_over_without_the_own_part_and_the_dead) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a")}, false, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  FleetLoadTable ledger;
  LoadReport report;
  report.loads = {{5, {10, 1}, std::nullopt}};
  for (const InstanceNumber instance : {1, 2, 3}) {
    ledger.SetReport(instance, report, kNow);
  }
  ApplyTotals(ledger.Totals(kNow), report, 1, numbers, &fleet, kNow);
  BOOST_TEST(ledger.InstanceCount() == 3);
  BOOST_TEST(fleet.Find("s1")->others_load.token_layers == 20);
  BOOST_TEST(fleet.Find("s1")->others_load.requests == 2);
  const TimePoint later = kNow + FleetLoadTable::kReportTtl;
  ledger.SetReport(2, {{{5, {7, 1}, std::nullopt}}, {}, {}}, later);
  ApplyTotals(ledger.Totals(later + Milliseconds(1)), {}, 1, numbers, &fleet, later);
  BOOST_TEST(ledger.InstanceCount() == 1);
  BOOST_TEST(fleet.Find("s1")->others_load.token_layers == 7);
}

// Guards against a suspicion that travels in circles and never ends.
BOOST_AUTO_TEST_CASE(suspicion_is_passed_on_once_and_not_back) {
  Fleet first;
  Fleet second;
  first.Update({Plain("s1", "a")}, false, kNow);
  second.Update({Plain("s1", "a")}, false, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  first.MarkStopped("s1", Milliseconds(1000), kNow);
  FleetLoadTable ledger;
  const LoadReport report = BuildLoadReport(first, numbers, 1, kNow + Milliseconds(400));
  BOOST_REQUIRE(report.suspects.size() == 1U);
  BOOST_TEST((report.suspects[0].kind == SuspectKind::kStopped));
  BOOST_TEST((report.suspects[0].remaining == Milliseconds(600)));
  ledger.SetReport(1, report, kNow + Milliseconds(400));
  // It is as old at the holder as it is there.
  const TimePoint later = kNow + Milliseconds(500);
  const LoadReport totals = ledger.Totals(later);
  ApplyTotals(totals, {}, 2, numbers, &second, later);
  BOOST_TEST(!second.Find("s1")->Usable(kNow + Milliseconds(900)));
  BOOST_TEST(second.Find("s1")->Usable(kNow + Milliseconds(1001)));
  BOOST_TEST(BuildLoadReport(second, numbers, 2, later).suspects.empty());
  // The finder is not told its own finding again, however late the totals come.
  ApplyTotals(totals, report, 1, numbers, &first, kNow + Milliseconds(900));
  BOOST_TEST(first.Find("s1")->Usable(kNow + Milliseconds(1001)));
}

// Guards against an engine that one instance found stopped and another one merely suspects.
BOOST_AUTO_TEST_CASE(stopped_outlasts_a_longer_suspicion) {
  FleetLoadTable ledger;
  ledger.SetReport(1, {{}, {{5, 1, Milliseconds(900), SuspectKind::kFailing}}, {}}, kNow);
  ledger.SetReport(2, {{}, {{5, 2, Milliseconds(500), SuspectKind::kStopped}}, {}}, kNow);
  ledger.SetReport(3, {{}, {{5, 3, Milliseconds(300), SuspectKind::kFailing}}, {}}, kNow);
  const LoadReport totals = ledger.Totals(kNow);
  BOOST_REQUIRE(totals.suspects.size() == 2U);
  BOOST_TEST(totals.suspects[0].reporter == 1);
  BOOST_TEST((totals.suspects[1].kind == SuspectKind::kStopped));
}

// Guards against an engine that each instance has to find full by a refusal of its own.
BOOST_AUTO_TEST_CASE(full_engines_are_known_to_all_and_not_taken_for_failing) {
  Fleet first;
  Fleet second;
  first.Update({Plain("s1", "a")}, false, kNow);
  second.Update({Plain("s1", "a")}, false, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  int findings = 0;
  first.SetHealthReportListener([&findings] { ++findings; });
  first.MarkFull("s1", Milliseconds(300), kNow);
  first.MarkFull("s1", Milliseconds(300), kNow + Milliseconds(10));
  BOOST_TEST(findings == 1);
  const LoadReport report = BuildLoadReport(first, numbers, 1, kNow + Milliseconds(10));
  ApplyTotals(report, {}, 2, numbers, &second, kNow + Milliseconds(10));
  BOOST_TEST(!second.Find("s1")->Usable(kNow + Milliseconds(300)));
  BOOST_TEST(second.Find("s1")->Usable(kNow + Milliseconds(311)));
  BOOST_TEST((second.Find("s1")->suspect_until == TimePoint()));
}

// Guards against progress that is taken for newer with each report that repeats it.
BOOST_AUTO_TEST_CASE(progress_elsewhere_is_as_old_as_it_is) {
  Fleet first;
  Fleet second;
  first.Update({Plain("s1", "a")}, false, kNow);
  second.Update({Plain("s1", "a")}, false, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  first.OnProgress("s1", kNow);
  FleetLoadTable ledger;
  ledger.SetReport(1, BuildLoadReport(first, numbers, 1, kNow + Milliseconds(100)),
                   kNow + Milliseconds(100));
  const TimePoint later = kNow + Milliseconds(400);
  ApplyTotals(ledger.Totals(later), {}, 2, numbers, &second, later);
  BOOST_TEST((second.Find("s1")->last_progress == kNow));
  // What was learnt is not passed on.
  BOOST_TEST(BuildLoadReport(second, numbers, 2, later).loads.empty());
}

// Load pattern: engines that go down and up by turns, or look healthy and fail all work. Guards
// against an engine that takes the same share of streams down with each return.
BOOST_AUTO_TEST_CASE(suspicions_of_a_relapsing_engine_get_longer) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a")}, false, kNow);
  const auto usable = [&fleet](TimePoint now) { return fleet.Find("s1")->Usable(now); };
  const Milliseconds base(500);
  TimePoint now = kNow;
  for (const int factor : {1, 2, 4, 4}) {
    BOOST_TEST(fleet.Suspect("s1", base, now));
    BOOST_TEST(!usable(now + base * factor - Milliseconds(1)));
    now += base * factor;
    BOOST_TEST(usable(now));
    now += Milliseconds(200);
  }
  // After a good time, or as a new process, it starts anew.
  now += Fleet::kRelapseWindow;
  fleet.Suspect("s1", base, now);
  BOOST_TEST(usable(now + base));
  fleet.Suspect("s1", base, now + base);
  UpstreamRecord restarted = Plain("s1", "a");
  restarted.started_ms = 99;
  fleet.Update({restarted}, false, now);
  fleet.Suspect("s1", base, now);
  BOOST_TEST(usable(now + base));
}

// The same with suspicions of which this instance was told.
BOOST_AUTO_TEST_CASE(reported_suspicions_count_for_the_next_one) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a")}, false, kNow);
  fleet.ApplySuspectReport("s1", Milliseconds(500), SuspectKind::kFailing, kNow);
  const TimePoint later = kNow + Milliseconds(600);
  fleet.Suspect("s1", Milliseconds(500), later);
  BOOST_TEST(!fleet.Find("s1")->Usable(later + Milliseconds(999)));
}

// Guards against reservations that outlive their engine and close it for ever.
BOOST_AUTO_TEST_CASE(release_never_goes_below_zero) {
  Fleet fleet;
  fleet.Update({Plain("s1", "a")}, false, kNow);
  fleet.Reserve("s1", 100);
  fleet.Update({}, false, kNow);
  fleet.Update({Plain("s1", "a")}, false, kNow);
  fleet.Release("s1", 100);
  BOOST_TEST(fleet.Find("s1")->own_load.token_layers == 0);
  BOOST_TEST(fleet.Find("s1")->own_load.requests == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
