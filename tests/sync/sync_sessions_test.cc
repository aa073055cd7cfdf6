// Tests of the state that the leader relays to followers.

#include "sync/sync_sessions.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/peer/frame_decoder.h"
#include "tests/support/sync_instance.h"

namespace azuregw {
namespace {

// A leader and one follower. Messages are delivered without delay unless a test delays them.
struct Fixture {
  Fixture() {
    store.Put("config", "3");
    store.Put("up/e1", "ready");
    leader.watcher.SetRelaying(true);
    leader.lister.SetRelaying(true);
    leader.watcher.Start();
    leader.lister.Start();
    loop.Advance(Milliseconds(50));
  }
  void Exchange() {
    BOOST_REQUIRE(leader_session.UpdateUpstreams());
    leader_session.OnReport(follower_session.BuildReport(), &follower_state);
    follower_session.OnUpdate(leader_session.UpdateFor(&follower_state, true));
    follower_session.OnTotals(leader_session.Totals());
  }
  void ExchangeFor(Milliseconds time) {
    for (Milliseconds elapsed(0); elapsed < time; elapsed += Milliseconds(150)) {
      Exchange();
      loop.Advance(Milliseconds(150));
    }
  }

  FakeLoop loop;
  FakeAsyncStore store{&loop};
  SyncInstance leader{&loop, &store};
  SyncInstance follower{&loop, &store};
  LeaderSession leader_session{leader.state, "i1", 0.25};
  FollowerSession follower_session{follower.state, "i2", 0.5};
  FollowerState follower_state;
};

BOOST_AUTO_TEST_SUITE(sync_sessions)

// Load pattern: the start of a large deployment, ten seconds before the operator publishes the
// first configuration. Guards against all instances polling the store for it (1,180 reads a second
// with 295 instances).
BOOST_AUTO_TEST_CASE(followers_do_not_poll_for_the_first_configuration) {
  FakeLoop loop;
  FakeAsyncStore store{&loop};
  store.Put("up/e1", "ready");
  FakeAsyncStore follower_store{&loop};  // A view of the same store, to count the calls.
  SyncInstance leader{&loop, &store};
  SyncInstance follower{&loop, &follower_store};
  LeaderSession leader_session{leader.state, "i1", 0.25};
  FollowerSession follower_session{follower.state, "i2", 0.5};
  FollowerState follower_state;
  leader.watcher.SetRelaying(true);
  leader.lister.SetRelaying(true);
  leader.watcher.Start();
  leader.lister.Start();
  loop.Advance(Milliseconds(50));
  const auto exchange_for = [&](Milliseconds time) {
    for (Milliseconds elapsed(0); elapsed < time; elapsed += Milliseconds(150)) {
      BOOST_REQUIRE(leader_session.UpdateUpstreams());
      leader_session.OnReport(follower_session.BuildReport(), &follower_state);
      follower_session.OnUpdate(leader_session.UpdateFor(&follower_state, true));
      loop.Advance(Milliseconds(150));
    }
  };
  exchange_for(Milliseconds(150));
  follower.watcher.Start();
  exchange_for(Milliseconds(10000));
  BOOST_TEST(follower_store.m_calls <= 3);
  store.Put("config", "3");
  exchange_for(Milliseconds(600));
  BOOST_TEST(follower.table.Version() == 3U);
  // Without the leader the follower reads for itself.
  follower_store.Put("config", "4");
  loop.Advance(Milliseconds(4000));
  BOOST_TEST(follower.table.Version() == 4U);
}

// Load pattern: the operator adds 1,560 routes in a fleet of 295 instances (dathanna large
// trouble-1). Guards against a leader whose link is occupied for seconds by copies of the document:
// reports and totals stopped, and all instances fell back to the store.
BOOST_AUTO_TEST_CASE(large_configuration_is_read_from_the_store) {
  Fixture f;
  FakeAsyncStore follower_store{&f.loop};
  SyncInstance reader{&f.loop, &follower_store};
  FollowerSession reader_session{reader.state, "i3", 0.5};
  FollowerState reader_state;
  // A version with leading zeros stands for a large document.
  const std::string large = std::string(200000, '0') + "4";
  const auto exchange = [&] {
    BOOST_REQUIRE(f.leader_session.UpdateUpstreams());
    f.leader_session.SetDocumentBudget(1000);
    f.leader_session.OnReport(reader_session.BuildReport(), &reader_state);
    const StateUpdate update = f.leader_session.UpdateFor(&reader_state, true);
    reader_session.OnUpdate(update);
    f.loop.Advance(Milliseconds(150));
    return update.config ? update.config->document.size() : 0;
  };
  exchange();
  BOOST_TEST(reader.table.Version() == 3U);
  f.store.Put("config", large);
  follower_store.Put("config", large);
  f.loop.Advance(Milliseconds(300));
  size_t sent = 0;
  for (int i = 0; i < 4; ++i) {
    sent += exchange();
  }
  BOOST_TEST(sent == 0U);
  BOOST_TEST(reader.table.Version() == 4U);
  BOOST_TEST(follower_store.m_calls <= 2);
  // An instance that the store turns away gets the document from the leader.
  f.store.Put("config", std::string(200000, '0') + "5");
  follower_store.m_down = true;
  f.loop.Advance(Milliseconds(300));
  for (int i = 0; i < 12; ++i) {
    sent += exchange();
  }
  BOOST_TEST(sent > 200000U);
  BOOST_TEST(sent < 210000U);
  BOOST_TEST(reader.table.Version() == 5U);
}

// Guards against store calls that grow with the fleet.
BOOST_AUTO_TEST_CASE(follower_with_a_leader_does_not_call_the_store) {
  Fixture f;
  f.follower.watcher.Start();
  f.follower.lister.Start();
  f.ExchangeFor(Milliseconds(3000));
  const int before = f.store.m_calls;
  f.ExchangeFor(Milliseconds(6000));
  // Watches and lists of the leader alone in 6 s.
  const int own = 6000 / static_cast<int>(ConfigWatcher::kRelayingWatchWait.count()) +
                  6000 / static_cast<int>(RemovalBounds({}).ListInterval(true).count());
  BOOST_TEST(f.store.m_calls - before <= own + 2);
  BOOST_TEST((*f.follower.table.Age(f.loop.Now()) < Milliseconds(1000)));
  BOOST_TEST((*f.follower.lister.Age() < Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(changes_reach_the_follower) {
  Fixture f;
  f.Exchange();
  BOOST_TEST(f.follower.table.Version() == 3U);
  BOOST_REQUIRE(f.follower.fleet.Find("e1") != nullptr);
  f.store.Put("config", "4");
  f.store.Put("up/e1", "draining");
  f.store.Put("up/e2", "ready");
  f.loop.Advance(Milliseconds(600));
  f.Exchange();
  BOOST_TEST(f.follower.table.Version() == 4U);
  BOOST_TEST(f.follower.fleet.Find("e1")->record.draining);
  BOOST_REQUIRE(f.follower.fleet.Find("e2") != nullptr);
  f.store.Remove("up/e1");
  f.loop.Advance(Milliseconds(600));
  f.Exchange();
  BOOST_TEST(f.follower.fleet.Find("e1") == nullptr);
}

// Guards against resending the unchanged document and list, which a small machine's bandwidth does
// not allow.
BOOST_AUTO_TEST_CASE(only_changes_are_sent) {
  Fixture f;
  f.Exchange();
  f.loop.Advance(Milliseconds(600));
  f.leader_session.OnReport(f.follower_session.BuildReport(), &f.follower_state);
  const StateUpdate update = f.leader_session.UpdateFor(&f.follower_state, true);
  BOOST_REQUIRE(update.config.has_value());
  BOOST_TEST(update.config->document.empty());
  BOOST_TEST(update.list.changed.empty());
  BOOST_TEST(!update.list.full);
}

// Guards against API keys that stay valid because an update was delayed in a buffer: the age counts
// from the follower's send time that the update echoes, not from the arrival or the leader's clock.
BOOST_AUTO_TEST_CASE(delayed_updates_do_not_look_fresh) {
  Fixture f;
  f.Exchange();
  f.leader_session.OnReport(f.follower_session.BuildReport(), &f.follower_state);
  const StateUpdate update = f.leader_session.UpdateFor(&f.follower_state, true);
  f.loop.Advance(Milliseconds(4000));
  f.follower_session.OnUpdate(update);
  BOOST_TEST((*f.follower.table.Age(f.loop.Now()) >= Milliseconds(4000)));
  RouteMatch match;
  BOOST_TEST((*f.follower.lister.Age() >= Milliseconds(4000)));
}

// Guards against API keys that stay valid because a leader without the store still sends updates.
BOOST_AUTO_TEST_CASE(leader_without_the_store_confirms_nothing) {
  Fixture f;
  f.Exchange();
  f.store.m_down = true;
  f.ExchangeFor(Milliseconds(3000));
  BOOST_TEST((*f.follower.table.Age(f.loop.Now()) >= Milliseconds(2300)));
  BOOST_TEST((*f.follower.lister.Age() >= Milliseconds(2500)));
}

// Load pattern: 295 instances lose the leader while a large configuration is read, so that the
// store takes over a second to answer (dathanna large trouble-1: requests reached engines up to 4.0
// s after they said that they leave). The own call must begin early enough for it.
BOOST_AUTO_TEST_CASE(follower_with_a_large_bound_reads_the_list_early) {
  Fixture f;
  f.follower.lister.SetBounds(RemovalBounds({Milliseconds(4000)}));
  f.follower.watcher.Start();
  f.follower.lister.Start();
  f.ExchangeFor(Milliseconds(3000));
  const TimePoint last = *f.follower.lister.Confirmed();
  f.store.Put("up/e1", "draining");
  while (*f.follower.lister.Confirmed() == last && f.loop.Now() - last < Milliseconds(5000)) {
    f.loop.Advance(Milliseconds(50));
  }
  BOOST_TEST(f.follower.fleet.Find("e1")->record.draining);
  BOOST_TEST((f.loop.Now() - last <= Milliseconds(2800)));
}

// Guards against a follower that waits for a silent leader until its configuration is stale.
BOOST_AUTO_TEST_CASE(follower_reads_the_store_when_the_leader_is_silent) {
  Fixture f;
  f.follower.watcher.Start();
  f.follower.lister.Start();
  f.ExchangeFor(Milliseconds(3000));
  f.store.Put("config", "4");
  f.store.Put("up/e1", "draining");
  f.loop.Advance(Milliseconds(1600));
  BOOST_TEST(f.follower.fleet.Find("e1")->record.draining);
  f.loop.Advance(Milliseconds(400));
  BOOST_TEST(f.follower.table.Version() == 4U);
  BOOST_TEST((*f.follower.table.Age(f.loop.Now()) < Milliseconds(1000)));
}

// Guards against an older relayed list that overwrites the list the follower read from the store.
BOOST_AUTO_TEST_CASE(an_older_list_does_not_replace_a_newer_one) {
  Fixture f;
  f.Exchange();
  f.store.Put("up/e1", "draining");
  f.follower.lister.Start();
  f.loop.Advance(Milliseconds(20));
  BOOST_REQUIRE(f.follower.fleet.Find("e1")->record.draining);
  f.Exchange();
  BOOST_TEST(f.follower.fleet.Find("e1")->record.draining);
}

// Guards against entries that a follower keeps during an outage and never removes.
BOOST_AUTO_TEST_CASE(entries_kept_during_an_outage_are_removed_without_a_change) {
  Fixture f;
  f.store.Put("up/e2", "ready");
  f.follower.lister.Start();
  f.loop.Advance(Milliseconds(600));
  f.ExchangeFor(Milliseconds(300));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(3000));
  f.store.Remove("up/e2");
  f.store.m_down = false;
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.follower.fleet.Find("e2") != nullptr);
  f.ExchangeFor(Milliseconds(4000));
  BOOST_TEST(f.follower.fleet.Find("e2") == nullptr);
}

// Guards against an instance that counts its own streams as those of others.
BOOST_AUTO_TEST_CASE(own_load_is_not_counted_twice) {
  Fixture f;
  f.Exchange();
  f.follower.fleet.Reserve("e1", 500);
  f.leader.fleet.Reserve("e1", 200);
  f.Exchange();
  BOOST_TEST(f.follower.fleet.Find("e1")->others_load.token_layers == 200);
  BOOST_TEST(f.follower.fleet.Find("e1")->others_load.requests == 1);
  BOOST_TEST(f.leader.fleet.Find("e1")->others_load.token_layers == 500);
  // The totals do not contain a report that the leader has not received.
  f.follower.fleet.Reserve("e1", 300);
  f.loop.Advance(Milliseconds(1));
  const InstanceReport late = f.follower_session.BuildReport();
  f.follower_session.OnUpdate(f.leader_session.UpdateFor(&f.follower_state, true));
  f.follower_session.OnTotals(f.leader_session.Totals());
  BOOST_TEST(f.follower.fleet.Find("e1")->others_load.token_layers == 200);
  BOOST_TEST(f.follower.fleet.Find("e1")->own_load.token_layers == 800);
}

// Guards against a follower that relies on the last leader and never looks for the next one.
BOOST_AUTO_TEST_CASE(updates_tell_whether_the_lease_is_held) {
  Fixture f;
  f.leader_session.OnReport(f.follower_session.BuildReport(), &f.follower_state);
  BOOST_TEST(f.leader_session.UpdateFor(&f.follower_state, true).lease_held);
  BOOST_TEST(!f.leader_session.UpdateFor(&f.follower_state, false).lease_held);
}

// Load pattern: engines exit under a part of the prompts, and each instance sees one exit (dathanna
// inc1). Guards against evidence that stays with one instance, and against resending it for ever.
BOOST_AUTO_TEST_CASE(evidence_of_all_instances_is_pooled) {
  Fixture f;
  SyncInstance other{&f.loop, &f.store};
  FollowerSession other_session{other.state, "i3", 0.5};
  FollowerState other_state;
  const auto exchange = [&] {
    f.Exchange();
    f.leader_session.OnReport(other_session.BuildReport(), &other_state);
    other_session.OnUpdate(f.leader_session.UpdateFor(&other_state, true));
    f.Exchange();
  };
  const std::vector<PartId> parts = {42};
  ProcessId process = 0;
  for (int round = 0; round < PromptQuarantine::kMaxCrashes; ++round) {
    for (PromptQuarantine* quarantine :
         {&f.leader.quarantine, &f.follower.quarantine, &other.quarantine}) {
      quarantine->OnCrash(parts, ++process, f.loop.Now(), f.loop.Now());
      f.loop.Advance(Milliseconds(50));
    }
  }
  exchange();
  for (SyncInstance* instance : {&f.leader, &f.follower, &other}) {
    BOOST_TEST(instance->quarantine.Quarantined(f.loop.Now())[42] == process);
  }
  exchange();
  BOOST_TEST(f.follower_session.BuildReport().prompt_evidence.crashes.empty());
  BOOST_TEST(f.leader_session.UpdateFor(&f.follower_state, true).prompt_evidence.crashes.empty());
  // An instance that restarts has the evidence after its first exchange.
  SyncInstance restarted{&f.loop, &f.store};
  FollowerSession restarted_session{restarted.state, "i4", 0.5};
  FollowerState restarted_state;
  f.leader_session.OnReport(restarted_session.BuildReport(), &restarted_state);
  restarted_session.OnUpdate(f.leader_session.UpdateFor(&restarted_state, true));
  BOOST_TEST(restarted.quarantine.Check(parts, false, f.loop.Now()).has_value());
}

// Guards against evidence that is lost with the leader.
BOOST_AUTO_TEST_CASE(new_leader_learns_the_evidence_from_followers) {
  Fixture f;
  const std::vector<PartId> parts = {42};
  for (ProcessId process = 1; process <= PromptQuarantine::kMaxCrashes; ++process) {
    f.leader.quarantine.OnCrash(parts, process, f.loop.Now(), f.loop.Now());
    f.loop.Advance(Milliseconds(50));
  }
  f.Exchange();
  SyncInstance next{&f.loop, &f.store};
  LeaderSession next_session{next.state, "i9", 0.25};
  FollowerSession session{f.follower.state, "i2", 0.5};
  FollowerState state;
  next_session.OnReport(session.BuildReport(), &state);
  BOOST_TEST(next.quarantine.Check(parts, false, f.loop.Now()).has_value());
}

// Guards against a leader without enough CPU time to renew its lease.
BOOST_AUTO_TEST_CASE(interval_grows_with_the_fleet_and_a_small_cpu_share) {
  BOOST_TEST((ReportInterval(9, 0.25) == Milliseconds(150)));
  BOOST_TEST((ReportInterval(89, 0.5) < Milliseconds(300)));
  BOOST_TEST((ReportInterval(89, 0.12) == Milliseconds(600)));
  BOOST_TEST((ReportInterval(300, 0.5) == Milliseconds(600)));
  Fixture f;
  f.Exchange();
  BOOST_TEST(f.leader_session.Totals().max_cpu_share == 0.5);
}

// Guards against fields that encoding loses or changes.
BOOST_AUTO_TEST_CASE(messages_survive_encoding) {
  Fixture f;
  f.leader_session.UpdateUpstreams();
  f.leader_session.OnReport(f.follower_session.BuildReport(), &f.follower_state);
  const StateUpdate update = f.leader_session.UpdateFor(&f.follower_state, true);
  const SharedFrame frame = EncodeSyncMessage(update);
  const auto decoded =
      DecodeSyncMessage({frame->data() + kFrameHeaderBytes, frame->size() - kFrameHeaderBytes});
  BOOST_REQUIRE(decoded.has_value());
  const StateUpdate& copy = std::get<StateUpdate>(*decoded);
  BOOST_TEST(copy.leader == "i1");
  BOOST_TEST(copy.receiver == 1);
  BOOST_TEST(copy.echo_us == update.echo_us);
  BOOST_TEST(copy.config->document == "3");
  BOOST_TEST(copy.newest_config_version == 3U);
  BOOST_TEST(copy.config->age_us == update.config->age_us);
  BOOST_REQUIRE(copy.list.changed.size() == 1U);
  BOOST_TEST((copy.list.changed[0].record == update.list.changed[0].record));
  StateUpdate evidence;
  evidence.prompt_evidence = {
      {{1ULL << 60, 7, Milliseconds(1500)}}, {{5, Milliseconds(20)}}, {1ULL << 60}};
  const SharedFrame third = EncodeSyncMessage(evidence);
  const auto decoded_evidence =
      DecodeSyncMessage({third->data() + kFrameHeaderBytes, third->size() - kFrameHeaderBytes});
  BOOST_REQUIRE(decoded_evidence.has_value());
  const PromptEvidence& prompts = std::get<StateUpdate>(*decoded_evidence).prompt_evidence;
  BOOST_REQUIRE(prompts.crashes.size() == 1U);
  BOOST_TEST(prompts.crashes[0].part == 1ULL << 60);
  BOOST_TEST(prompts.crashes[0].process == 7U);
  BOOST_TEST((prompts.crashes[0].age == Milliseconds(1500)));
  BOOST_REQUIRE(prompts.answers.size() == 1U);
  BOOST_TEST((prompts.answers[0].age == Milliseconds(20)));
  BOOST_REQUIRE(prompts.quarantined.size() == 1U);
  BOOST_TEST(prompts.quarantined[0] == 1ULL << 60);
  FleetTotals totals;
  totals.instances = 9;
  totals.interval = Milliseconds(267);
  totals.load = {{{7, {1500, 2}, Milliseconds(40)}},
                 {{7, 1, Milliseconds(300), SuspectKind::kStopped}},
                 {{7, 2, Milliseconds(9), 3}},
                 {{LinkBetween("a", "b"), 1500}},
                 {{7, 15.5, Milliseconds(80)}, {8, std::nullopt, Milliseconds(2)}},
                 {{7, 12}},
                 {{7, 1785821099455, StatedFact::kLeaving, Milliseconds(600000)}}};
  const SharedFrame second = EncodeSyncMessage(totals);
  const auto decoded_totals =
      DecodeSyncMessage({second->data() + kFrameHeaderBytes, second->size() - kFrameHeaderBytes});
  BOOST_REQUIRE(decoded_totals.has_value());
  BOOST_TEST((std::get<FleetTotals>(*decoded_totals).interval == Milliseconds(267)));
  BOOST_REQUIRE(std::get<FleetTotals>(*decoded_totals).load.links.size() == 1U);
  BOOST_TEST(std::get<FleetTotals>(*decoded_totals).load.links[0].link == LinkBetween("a", "b"));
  BOOST_TEST(std::get<FleetTotals>(*decoded_totals).load.links[0].tokens_per_s == 1500);
  const LoadReport& load = std::get<FleetTotals>(*decoded_totals).load;
  BOOST_REQUIRE(load.rate_limits.size() == 2U);
  BOOST_TEST((load.rate_limits[0].per_s == 15.5));
  BOOST_TEST((load.rate_limits[0].age == Milliseconds(80)));
  BOOST_TEST(!load.rate_limits[1].per_s.has_value());
  BOOST_REQUIRE(load.begun.size() == 1U);
  BOOST_TEST(load.begun[0].streams == 12);
  BOOST_REQUIRE(load.statements.size() == 1U);
  BOOST_TEST(load.statements[0].upstream == 7);
  BOOST_TEST(load.statements[0].process == 1785821099455);
  BOOST_TEST((load.statements[0].fact == StatedFact::kLeaving));
  BOOST_TEST((load.statements[0].remaining == Milliseconds(600000)));
  BOOST_TEST(load.loads[0].load.token_layers == 1500);
  BOOST_TEST(load.loads[0].load.requests == 2);
  BOOST_TEST((load.loads[0].idle == Milliseconds(40)));
  BOOST_TEST((load.suspects[0].kind == SuspectKind::kStopped));
  BOOST_TEST((load.suspects[0].remaining == Milliseconds(300)));
  BOOST_TEST(load.paces[0].pace == 3);
  const std::string foreign = "not a message at all";
  BOOST_TEST(
      !DecodeSyncMessage({reinterpret_cast<const uint8_t*>(foreign.data()), foreign.size()}));
}

// Guards against instances that continue in an era that has ended, because they hear of the store
// through the leader alone, or a leader that hears of it last.
BOOST_AUTO_TEST_CASE(instances_tell_one_another_the_era_of_the_store) {
  FakeLoop loop;
  FakeAsyncStore store{&loop};
  FakeAsyncStore follower_store{&loop};
  SyncInstance leader{&loop, &store};
  SyncInstance follower{&loop, &follower_store};
  LeaderSession leader_session{leader.state, "i1", 0.25};
  FollowerSession follower_session{follower.state, "i2", 0.5};
  FollowerState follower_state;
  const auto exchange = [&] {
    BOOST_REQUIRE(leader_session.UpdateUpstreams());
    leader_session.OnReport(follower_session.BuildReport(), &follower_state);
    follower_session.OnUpdate(leader_session.UpdateFor(&follower_state, true));
  };
  store.Era()->OnAnswer(0, 1, loop.Now());
  follower_store.Era()->OnAnswer(0, 1, loop.Now());
  store.Era()->OnAnswer(1, 2, loop.Now());
  exchange();
  BOOST_TEST(follower_store.Era()->Current() == 2U);
  follower_store.Era()->OnAnswer(2, 3, loop.Now());
  exchange();
  BOOST_TEST(store.Era()->Current() == 3U);
}

// Guards against followers that hear of versions from the leader alone, which lacks the newest one.
BOOST_AUTO_TEST_CASE(leader_announces_versions_that_only_a_follower_has) {
  Fixture f;
  FollowerState other;
  InstanceReport report;
  report.instance = "i3";
  report.stamp_us = 1;
  report.config_version = 8;
  f.leader_session.OnReport(report, &other);
  f.Exchange();
  BOOST_TEST(f.leader.watcher.Version() == 3U);
  BOOST_TEST(f.follower.watcher.NewestKnown() == 8U);
}

// Guards against entries of other writers that make the list larger than a message: the followers
// closed the connection and stopped following it. Sound upstreams stay listed.
BOOST_AUTO_TEST_CASE(list_of_many_foreign_entries_fits_a_message) {
  Fixture f;
  f.follower.watcher.Start();
  RoutingConfig config;
  config.services["model"].name = "model";
  f.leader.fleet.SetConfig(std::make_shared<const RoutingConfig>(config));
  const std::string long_name(180, 'x');
  for (int i = 0; i < 8000; ++i) {
    f.store.Put("up/a-foreign-" + std::to_string(i) + long_name, "foreign");
  }
  f.store.Put("up/z-sound", "ready");
  f.loop.Advance(Milliseconds(2000));
  BOOST_TEST(f.leader.fleet.Find("z-sound") != nullptr);
  BOOST_TEST(f.leader.lister.LeftOutEntries() > 0U);
  BOOST_REQUIRE(f.leader_session.UpdateUpstreams());
  f.leader_session.OnReport(f.follower_session.BuildReport(), &f.follower_state);
  const StateUpdate update = f.leader_session.UpdateFor(&f.follower_state, true);
  BOOST_TEST(EncodeSyncMessage(update)->size() <= size_t{1} << 20);
}

// Guards against keys that a follower rejects after a restore although the operator has written the
// active version again: it knows from the leader which revision the version had before.
BOOST_AUTO_TEST_CASE(follower_sees_that_its_version_was_written_again) {
  Fixture f;
  f.store.BackUp();
  for (int i = 0; i < 5; ++i) {
    f.store.Put("other", std::to_string(i));
  }
  f.follower.watcher.Start();
  f.ExchangeFor(Milliseconds(600));
  f.store.Put("config", "8");
  f.ExchangeFor(Milliseconds(900));
  BOOST_REQUIRE(f.follower.table.Version() == 8U);
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(3000));
  f.store.m_down = false;
  f.store.Restore();
  f.store.Put("config", "8");
  // Without the leader, at the first read after the restore.
  TimePoint read_at = f.loop.Now();
  for (int i = 0; i < 400 && f.follower.log.Count("store_regained") == 0; ++i) {
    f.loop.Advance(Milliseconds(10));
    read_at = f.loop.Now();
  }
  BOOST_TEST((*f.follower.table.ConfirmedAt() > read_at - Milliseconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
