// Tests the state of upstreams, the exchange of load reports and the upstream picker.

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

UpstreamRecord PlainRecord(const std::string& id, const std::string& domain) {
  UpstreamRecord record = EngineRecordOf(id, domain, "", std::nullopt);
  record.service = "orders";
  record.slots = 6;
  return record;
}

BOOST_AUTO_TEST_SUITE(fleet)

std::shared_ptr<const RoutingConfig> ModelConfig() {
  RoutingConfig config;
  config.version = 1;
  RoutedService model;
  model.name = "model";
  model.engine = MixedProfile();
  config.services["model"] = std::move(model);
  return std::make_shared<const RoutingConfig>(std::move(config));
}

// Guards against entries of other writers that are used although they contradict the profile: a
// 17th layer of a model of 16 was put into the path of every stream, and sound engines refused it.
BOOST_AUTO_TEST_CASE(entries_that_contradict_the_profile_serve_nothing) {
  const std::vector<UpstreamRecord> records = {
      EngineRecordOf("sound", "a", "a100", LayerRange{0, 30}),
      EngineRecordOf("empty", "a", "l4", std::nullopt),
      EngineRecordOf("kind", "a", "other", LayerRange{0, 30}),
      EngineRecordOf("no-kind", "a", "", LayerRange{0, 30}),
      EngineRecordOf("beyond", "a", "a100", LayerRange{60, 81}),
      EngineRecordOf("memory", "a", "l4", LayerRange{0, 80}),
      PlainRecord("plain", "a")};
  for (const bool config_first : {true, false}) {
    Fleet fleet;
    if (config_first) {
      fleet.SetConfig(ModelConfig());
    }
    fleet.Update(records, kNow);
    fleet.SetConfig(ModelConfig());
    BOOST_TEST(fleet.Contradictory() == 4);
    for (const auto& [id, upstream] : fleet.All()) {
      const bool sound = id == "sound" || id == "empty" || id == "plain";
      BOOST_TEST(upstream.Accepts(kNow) == sound, id);
      BOOST_TEST(upstream.Responds(kNow) == sound, id);
    }
  }
}

// Guards against foreign entries that take a sound engine away, or let callers wait for layers that
// nobody holds.
BOOST_AUTO_TEST_CASE(contradictory_entries_take_nothing_from_sound_engines) {
  Fleet fleet;
  fleet.SetConfig(ModelConfig());
  std::vector<UpstreamRecord> records = {
      EngineRecordOf("sound", "a", "a100", LayerRange{0, 30}),
      EngineRecordOf("foreign", "a", "a100", LayerRange{0, 900})};
  records[1].address = records[0].address;
  records[1].started_ms = records[0].started_ms + 1000;
  fleet.Update(records, kNow);
  BOOST_REQUIRE(fleet.Find("sound") != nullptr);
  BOOST_TEST(fleet.Find("sound")->Accepts(kNow));
  BOOST_TEST(*fleet.FindByAddress(records[0].address) == "sound");
  fleet.OnClosed("foreign", Milliseconds(2000), kNow);
  BOOST_TEST(fleet.OpenDelay("model", kNow).count() == 0);
}

BOOST_AUTO_TEST_CASE(removed_entry_is_dropped_at_once_without_outage) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a"), PlainRecord("s2", "a")}, kNow);
  const auto changes = fleet.Update({PlainRecord("s2", "a")}, kNow);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].kind == FleetChange::Kind::kRemoved));
  BOOST_TEST(fleet.Find("s1") == nullptr);
}

// Guards against an empty fleet after a store outage in which the entries of live upstreams
// expired. Live upstreams are listed again within 2 s; the others are removed then.
BOOST_AUTO_TEST_CASE(entries_missing_after_an_outage_are_kept_for_the_grace_period) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a"), PlainRecord("s2", "a")}, kNow);
  const TimePoint end = kNow + Milliseconds(2000);
  const RetentionWindow window{end, TimePoint()};
  for (const FleetChange& change : fleet.Update({}, window, kNow)) {
    BOOST_TEST((change.kind == FleetChange::Kind::kRetained));
  }
  BOOST_TEST(fleet.All().size() == 2U);
  BOOST_TEST(fleet.RetainedUpstreams() == 2U);
  BOOST_TEST(fleet.Find("s2")->Accepts(end - Milliseconds(1)));
  // Also if no further list is read.
  BOOST_TEST(!fleet.Find("s2")->Accepts(end));
  fleet.Update({PlainRecord("s1", "a")}, window, kNow + Milliseconds(800));
  BOOST_TEST(fleet.All().size() == 2U);
  fleet.Update({PlainRecord("s1", "a")}, window, end + Milliseconds(1));
  BOOST_TEST(fleet.All().size() == 1U);
  BOOST_REQUIRE(fleet.Find("s1") != nullptr);
  BOOST_TEST(fleet.Find("s1")->Accepts(end + Milliseconds(1)));
}

// Guards against a retention that is prolonged by entries that disappear later: the sum would pass
// the leaving bound.
BOOST_AUTO_TEST_CASE(entries_that_expire_later_do_not_prolong_the_retention_of_others) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a"), PlainRecord("s2", "a")}, kNow);
  const TimePoint first = kNow + Milliseconds(500);
  const TimePoint second = kNow + Milliseconds(1500);
  fleet.Update({PlainRecord("s2", "a")}, {TimePoint(), first}, kNow);
  fleet.Update({}, {TimePoint(), second}, kNow + Milliseconds(100));
  BOOST_TEST(!fleet.Find("s1")->Accepts(first));
  BOOST_TEST(fleet.Find("s2")->Accepts(first));
  BOOST_TEST(!fleet.Find("s2")->Accepts(second));
}

// Guards against a live upstream that stays dropped after a restore: its entry came back after the
// grace period, and its removal counted as one from before the restore.
BOOST_AUTO_TEST_CASE(entry_that_comes_back_late_after_a_restore_is_used) {
  Fleet fleet;
  UpstreamRecord record = PlainRecord("s1", "a");
  record.started_ms = 10;
  fleet.Update({record}, kNow);
  fleet.OnStoreRestored(Milliseconds(5000), kNow);
  fleet.Update({}, kNow + Milliseconds(2100));
  BOOST_TEST(fleet.Find("s1") == nullptr);
  fleet.Update({record}, kNow + Milliseconds(2300));
  BOOST_TEST(fleet.Find("s1") != nullptr);
}

// Guards against requests to an entry that outlives its process, after a crash or in a copy of the
// store, while the next process runs at its address under another ID.
BOOST_AUTO_TEST_CASE(entry_does_not_outlive_the_next_process_at_its_address) {
  Fleet fleet;
  UpstreamRecord crashed = EngineRecordOf("e2", "a", "fast", LayerRange{0, 8});
  crashed.started_ms = 10;
  UpstreamRecord next = EngineRecordOf("e1", "a", "fast", std::nullopt);
  next.address = crashed.address;
  next.started_ms = 20;
  fleet.Update({crashed}, kNow);
  const auto changes = fleet.Update({next, crashed}, kNow + Milliseconds(500));
  BOOST_TEST(changes.size() == 2U);
  BOOST_TEST(fleet.Find("e2") == nullptr);
  BOOST_REQUIRE(fleet.FindByAddress(crashed.address) != nullptr);
  BOOST_TEST(*fleet.FindByAddress(crashed.address) == "e1");
  BOOST_TEST(fleet.Update({next, crashed}, kNow + Milliseconds(1000)).empty());
  // A copy that lacks the next process.
  fleet.OnStoreRestored(Milliseconds(5000), kNow + Milliseconds(1500));
  const RetentionWindow window{kNow + Milliseconds(3500), TimePoint()};
  const auto retained = fleet.Update({crashed}, window, kNow + Milliseconds(1500));
  BOOST_TEST((retained.size() == 1U && retained[0].kind == FleetChange::Kind::kRetained));
  BOOST_TEST(fleet.Find("e2") == nullptr);
  BOOST_TEST(fleet.Find("e1") != nullptr);
}

// Guards against an entry without a start time that displaces another one, or is displaced.
BOOST_AUTO_TEST_CASE(entries_without_a_start_time_share_an_address) {
  Fleet fleet;
  const UpstreamRecord known = PlainRecord("s1", "a");
  UpstreamRecord unknown = PlainRecord("s2", "a");
  unknown.address = known.address;
  unknown.started_ms = 0;
  fleet.Update({known, unknown}, kNow);
  BOOST_TEST(fleet.All().size() == 2U);
}

// Guards against an earlier process that counts as a restart, and layers that are given up again.
BOOST_AUTO_TEST_CASE(older_entries_of_a_restored_store_do_not_replace_newer_ones) {
  Fleet fleet;
  UpstreamRecord restarted = EngineRecordOf("e1", "a", "fast", LayerRange{0, 8});
  restarted.started_ms = 20;
  UpstreamRecord loaded = EngineRecordOf("e2", "a", "fast", LayerRange{8, 16});
  loaded.order_sequence = 2;
  fleet.Update({restarted, loaded}, kNow);
  fleet.OnStoreRestored(Milliseconds(5000), kNow);
  UpstreamRecord before = restarted;
  before.started_ms = 10;
  before.layers.reset();
  UpstreamRecord empty = loaded;
  empty.order_sequence = 1;
  empty.layers = LayerRange{0, 4};
  const RetentionWindow window{kNow + Milliseconds(2000), TimePoint()};
  const auto changes = fleet.Update({before, empty}, window, kNow + Milliseconds(500));
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].id == "e1" && changes[0].kind == FleetChange::Kind::kRetained));
  BOOST_TEST((fleet.Find("e1")->record == restarted));
  BOOST_TEST((fleet.Find("e2")->record == loaded));
  // A newer process counts at once.
  UpstreamRecord next = restarted;
  next.started_ms = 30;
  fleet.Update({next, loaded}, kNow + Milliseconds(1000));
  BOOST_TEST(fleet.Find("e1")->record.started_ms == 30);
}

// Guards against a restarted upstream that stays suspect.
BOOST_AUTO_TEST_CASE(restart_with_the_same_id_clears_suspicion) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a")}, kNow);
  BOOST_TEST(fleet.Suspect("s1", Milliseconds(5000), kNow));
  BOOST_TEST(!fleet.Suspect("s1", Milliseconds(1000), kNow));  // Already suspect.
  BOOST_TEST(!fleet.Find("s1")->Usable(kNow));
  UpstreamRecord restarted = PlainRecord("s1", "a");
  restarted.started_ms = 2;
  fleet.Update({restarted}, kNow);
  BOOST_TEST(fleet.Find("s1")->Usable(kNow));
}

BOOST_AUTO_TEST_CASE(draining_upstream_gets_no_new_requests) {
  Fleet fleet;
  UpstreamRecord leaving = PlainRecord("s1", "a");
  leaving.draining = true;
  fleet.Update({leaving, PlainRecord("s2", "b")}, kNow);
  const auto random = MakeRandom(1);
  PickQuery query{"orders", "a", {}, kNow};
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(PickUpstream(fleet, query, random.get()) == "s2");
  }
  query.excluded.insert("s2");
  BOOST_TEST(PickUpstream(fleet, query, random.get()).empty());
}

// Load pattern: one of three upstreams becomes unresponsive. Guards against new requests to it, and
// against rejections when all upstreams are suspect.
BOOST_AUTO_TEST_CASE(suspect_upstreams_are_picked_last) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a"), PlainRecord("s2", "b"), PlainRecord("s3", "b")}, kNow);
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
  fleet.Update({PlainRecord("s1", "a"), PlainRecord("s2", "a")}, kNow);
  fleet.Reserve("s1", 0);
  fleet.Reserve("s1", 0);
  const auto random = MakeRandom(1);
  BOOST_TEST(PickUpstream(fleet, {"orders", "a", {}, kNow}, random.get()) == "s2");
  fleet.OnReportedLoad("s2", 12, kNow);
  BOOST_TEST(PickUpstream(fleet, {"orders", "a", {}, kNow}, random.get()) == "s1");
  // The self-reported load is stale.
  BOOST_TEST(PickUpstream(fleet, {"orders", "a", {}, kNow + Milliseconds(600)}, random.get()) ==
             "s2");
}

// Guards against counting the own load twice and against keeping the load of an exited instance.
BOOST_AUTO_TEST_CASE(totals_exclude_own_load_and_expired_reports) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a")}, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  FleetLoadTable load_table;
  LoadReport report;
  report.loads = {{5, {10, 1}, std::nullopt}};
  for (const InstanceNumber instance : {1, 2, 3}) {
    load_table.SetReport(instance, report, kNow);
  }
  ApplyTotals(load_table.Totals(kNow), report, 1, numbers, &fleet, kNow);
  BOOST_TEST(load_table.InstanceCount() == 3);
  BOOST_TEST(fleet.Find("s1")->others_load.token_layers == 20);
  BOOST_TEST(fleet.Find("s1")->others_load.requests == 2);
  const TimePoint later = kNow + FleetLoadTable::kReportTtl;
  load_table.SetReport(2, {{{5, {7, 1}, std::nullopt}}, {}, {}}, later);
  ApplyTotals(load_table.Totals(later + Milliseconds(1)), {}, 1, numbers, &fleet, later);
  BOOST_TEST(load_table.InstanceCount() == 1);
  BOOST_TEST(fleet.Find("s1")->others_load.token_layers == 7);
}

// Guards against suspicions that instances keep alive by reporting them back and forth.
BOOST_AUTO_TEST_CASE(received_suspicion_is_not_reported_again) {
  Fleet reporting;
  Fleet receiving;
  reporting.Update({PlainRecord("s1", "a")}, kNow);
  receiving.Update({PlainRecord("s1", "a")}, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  reporting.MarkStopped("s1", Milliseconds(1000), kNow);
  FleetLoadTable load_table;
  const LoadReport report = BuildLoadReport(reporting, numbers, 1, kNow + Milliseconds(400));
  BOOST_REQUIRE(report.suspects.size() == 1U);
  BOOST_TEST((report.suspects[0].kind == SuspectKind::kStopped));
  BOOST_TEST((report.suspects[0].remaining == Milliseconds(600)));
  load_table.SetReport(1, report, kNow + Milliseconds(400));
  // The age of the report is subtracted at the leader as well.
  const TimePoint later = kNow + Milliseconds(500);
  const LoadReport totals = load_table.Totals(later);
  ApplyTotals(totals, {}, 2, numbers, &receiving, later);
  BOOST_TEST(!receiving.Find("s1")->Usable(kNow + Milliseconds(900)));
  BOOST_TEST(receiving.Find("s1")->Usable(kNow + Milliseconds(1001)));
  BOOST_TEST(BuildLoadReport(receiving, numbers, 2, later).suspects.empty());
  // The reporter ignores its own report in the totals, however late they arrive.
  ApplyTotals(totals, report, 1, numbers, &reporting, kNow + Milliseconds(900));
  BOOST_TEST(reporting.Find("s1")->Usable(kNow + Milliseconds(1001)));
}

// Guards against losing the report of an unresponsive engine when another instance reports a longer
// suspicion of a lesser kind.
BOOST_AUTO_TEST_CASE(stopped_report_is_kept_beside_a_longer_suspicion) {
  FleetLoadTable load_table;
  load_table.SetReport(1, {{}, {{5, 1, Milliseconds(900), SuspectKind::kFailing}}, {}}, kNow);
  load_table.SetReport(2, {{}, {{5, 2, Milliseconds(500), SuspectKind::kStopped}}, {}}, kNow);
  load_table.SetReport(3, {{}, {{5, 3, Milliseconds(300), SuspectKind::kFailing}}, {}}, kNow);
  const LoadReport totals = load_table.Totals(kNow);
  BOOST_REQUIRE(totals.suspects.size() == 2U);
  BOOST_TEST(totals.suspects[0].reporter == 1);
  BOOST_TEST((totals.suspects[1].kind == SuspectKind::kStopped));
}

// Guards against every instance having to be refused before it knows that an engine is full.
BOOST_AUTO_TEST_CASE(full_engine_is_reported_without_being_suspect) {
  Fleet reporting;
  Fleet receiving;
  reporting.Update({PlainRecord("s1", "a")}, kNow);
  receiving.Update({PlainRecord("s1", "a")}, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  int health_reports = 0;
  reporting.SetHealthReportListener([&health_reports] { ++health_reports; });
  reporting.MarkFull("s1", Milliseconds(300), kNow);
  reporting.MarkFull("s1", Milliseconds(300), kNow + Milliseconds(10));
  BOOST_TEST(health_reports == 1);
  const LoadReport report = BuildLoadReport(reporting, numbers, 1, kNow + Milliseconds(10));
  ApplyTotals(report, {}, 2, numbers, &receiving, kNow + Milliseconds(10));
  BOOST_TEST(!receiving.Find("s1")->Usable(kNow + Milliseconds(300)));
  BOOST_TEST(receiving.Find("s1")->Usable(kNow + Milliseconds(311)));
  BOOST_TEST((receiving.Find("s1")->suspect_until == TimePoint()));
}

// Guards against progress that looks more recent each time a report is forwarded.
BOOST_AUTO_TEST_CASE(reported_progress_keeps_its_age) {
  Fleet reporting;
  Fleet receiving;
  reporting.Update({PlainRecord("s1", "a")}, kNow);
  receiving.Update({PlainRecord("s1", "a")}, kNow);
  UpstreamNumbers numbers;
  numbers.Learn(5, "s1");
  reporting.OnProgress("s1", kNow);
  FleetLoadTable load_table;
  load_table.SetReport(1, BuildLoadReport(reporting, numbers, 1, kNow + Milliseconds(100)),
                       kNow + Milliseconds(100));
  const TimePoint later = kNow + Milliseconds(400);
  ApplyTotals(load_table.Totals(later), {}, 2, numbers, &receiving, later);
  BOOST_TEST((receiving.Find("s1")->last_progress == kNow));
  // Received progress is not reported again.
  BOOST_TEST(BuildLoadReport(receiving, numbers, 2, later).loads.empty());
}

// Load pattern: flapping engines, or engines that pass health checks and fail all requests. Guards
// against an engine that fails the same share of streams each time it is taken back.
BOOST_AUTO_TEST_CASE(repeated_suspicions_of_an_engine_back_off) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a")}, kNow);
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
  // The backoff is reset after a period without failures or by a restart.
  now += Fleet::kRelapseWindow;
  fleet.Suspect("s1", base, now);
  BOOST_TEST(usable(now + base));
  fleet.Suspect("s1", base, now + base);
  UpstreamRecord restarted = PlainRecord("s1", "a");
  restarted.started_ms = 99;
  fleet.Update({restarted}, now);
  fleet.Suspect("s1", base, now);
  BOOST_TEST(usable(now + base));
}

// Guards against a backoff that ignores the suspicions reported by other instances.
BOOST_AUTO_TEST_CASE(reported_suspicion_counts_for_backoff) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a")}, kNow);
  fleet.ApplySuspectReport("s1", Milliseconds(500), SuspectKind::kFailing, kNow);
  const TimePoint later = kNow + Milliseconds(600);
  fleet.Suspect("s1", Milliseconds(500), later);
  BOOST_TEST(!fleet.Find("s1")->Usable(later + Milliseconds(999)));
}

// Guards against reservations that outlive their engine and block it permanently.
BOOST_AUTO_TEST_CASE(release_does_not_go_below_zero) {
  Fleet fleet;
  fleet.Update({PlainRecord("s1", "a")}, kNow);
  fleet.Reserve("s1", 100);
  fleet.Update({}, kNow);
  fleet.Update({PlainRecord("s1", "a")}, kNow);
  fleet.Release("s1", 100);
  BOOST_TEST(fleet.Find("s1")->own_load.token_layers == 0);
  BOOST_TEST(fleet.Find("s1")->own_load.requests == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
