// Tests of ConfigWatcher and UpstreamLister, including store failures.

#include "azuregw/sync/config_watcher.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "azuregw/sync/upstream_lister.h"
#include "tests/support/fake_async_store.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_loop.h"
#include "tests/support/text_codec.h"

namespace azuregw {
namespace {

struct Fixture {
  FakeLoop loop;
  FakeAsyncStore store{&loop};
  FakeLog log;
  TextCodec codec;
  RouteTable table{Milliseconds(3500)};
  std::unique_ptr<Random> random = MakeRandom(7);
  StoreRetry retry{random.get()};
  ConfigWatcher watcher{&loop, &store, &codec, &table, &retry, &log};
  Fleet fleet;
  UpstreamLister lister{&loop, &store, &codec, &fleet, &retry, &log};
};

BOOST_AUTO_TEST_SUITE(config_watcher)

BOOST_AUTO_TEST_CASE(new_versions_are_adopted_within_130_ms) {
  Fixture f;
  f.store.Put("config", "3");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  BOOST_TEST(f.table.Version() == 3U);
  f.loop.Advance(Milliseconds(1000));
  f.store.Put("config", "5");
  f.loop.Advance(Milliseconds(20));
  BOOST_TEST(f.table.Version() == 5U);
  f.store.Put("config", "9");
  f.loop.Advance(Milliseconds(130));
  BOOST_TEST(f.table.Version() == 9U);
}

// Guards against an age that grows without changes: API keys are rejected above 3.5 s.
BOOST_AUTO_TEST_CASE(age_stays_low_without_changes) {
  Fixture f;
  f.store.Put("config", "3");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  for (int i = 0; i < 100; ++i) {
    f.loop.Advance(Milliseconds(100));
    BOOST_TEST((*f.table.Age(f.loop.Now()) <= Milliseconds(1700)));
  }
  BOOST_TEST(f.store.m_calls < 10);
}

// Guards against API keys rejected as stale after one failed watch. A store that was unresponsive
// for 1 s while it compacted its history caused 70 rejected requests.
BOOST_AUTO_TEST_CASE(one_failed_watch_does_not_make_the_configuration_stale) {
  Fixture f;
  f.store.Put("config", "3");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(1000));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(1000));
  f.store.m_down = false;
  for (int i = 0; i < 40; ++i) {
    f.loop.Advance(Milliseconds(100));
    BOOST_TEST((*f.table.Age(f.loop.Now()) <= Milliseconds(3500)));
  }
  BOOST_TEST(f.log.Count("store_lost") == 1);
  BOOST_TEST(f.log.Count("store_regained") == 1);
}

BOOST_AUTO_TEST_CASE(configuration_ages_during_an_outage_and_recovers) {
  Fixture f;
  f.store.Put("config", "3");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(1000));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(8000));
  BOOST_TEST((*f.table.Age(f.loop.Now()) > Milliseconds(3500)));
  f.store.Put("config", "4");
  f.store.m_down = false;
  f.loop.Advance(Milliseconds(2000));
  BOOST_TEST(f.table.Version() == 4U);
  BOOST_TEST((*f.table.Age(f.loop.Now()) <= Milliseconds(1700)));
}

BOOST_AUTO_TEST_CASE(lost_history_triggers_a_read) {
  Fixture f;
  f.store.Put("config", "3");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  f.store.Put("config", "8");
  f.store.m_history_gone = true;
  f.loop.Advance(Milliseconds(100));
  BOOST_TEST(f.table.Version() == 8U);
}

// Guards against an undecodable configuration that clears the active one or counts as confirmed.
BOOST_AUTO_TEST_CASE(undecodable_configuration_keeps_the_active_one) {
  Fixture f;
  f.store.Put("config", "3");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  f.store.Put("config", "not a version");
  f.loop.Advance(Milliseconds(300));
  BOOST_TEST(f.table.Version() == 3U);
  BOOST_TEST(f.log.Count("config_unreadable") == 1);
  f.store.Put("config", "4");
  f.loop.Advance(Milliseconds(300));
  BOOST_TEST(f.table.Version() == 4U);
}

BOOST_AUTO_TEST_CASE(leaving_upstream_is_known_within_a_second) {
  Fixture f;
  f.store.Put("up/s1", "ready");
  f.store.Put("up/s2", "???");
  f.lister.Start();
  f.loop.Advance(Milliseconds(50));
  BOOST_TEST(f.fleet.All().size() == 1U);
  BOOST_TEST(f.log.Count("upstream_unreadable") == 1);
  f.store.Put("up/s1", "draining");
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.fleet.Find("s1")->record.draining);
  f.store.Remove("up/s1");
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.fleet.All().empty());
  BOOST_TEST(f.log.Count("upstream_unreadable") == 1);  // Logged once, not on every poll.
}

// Guards against an empty fleet after an outage during which entries expired.
BOOST_AUTO_TEST_CASE(expired_upstreams_are_kept_until_they_can_register_again) {
  Fixture f;
  f.store.Put("up/s1", "ready");
  f.store.Put("up/s2", "ready");
  f.lister.Start();
  f.loop.Advance(Milliseconds(1000));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(5000));
  BOOST_TEST(f.fleet.All().size() == 2U);
  f.store.Remove("up/s1");
  f.store.Remove("up/s2");
  f.store.m_down = false;
  f.loop.Advance(Milliseconds(1900));
  BOOST_TEST(f.fleet.All().size() == 2U);
  f.store.Put("up/s1", "ready");
  f.loop.Advance(Milliseconds(3000));
  BOOST_TEST(f.fleet.All().size() == 1U);
}

// Guards against a retry load that grows with the fleet when all instances lose the store at once:
// 77 instances made 4,500 calls in 6 s.
BOOST_AUTO_TEST_CASE(retry_rate_is_bounded_in_a_large_fleet) {
  Fixture f;
  f.store.Put("config", "3");
  f.watcher.Start();
  f.lister.Start();
  f.loop.Advance(Milliseconds(2000));
  f.retry.SetInstances(100);
  f.store.m_down = true;
  const int before = f.store.m_calls;
  f.loop.Advance(Milliseconds(10000));
  const int calls = f.store.m_calls - before;
  // One call of each kind per second; small fleets make four.
  BOOST_TEST(calls <= 28);
  BOOST_TEST(calls >= 4);
  f.store.m_down = false;
  f.loop.Advance(Milliseconds(2600));
  BOOST_TEST((*f.table.Age(f.loop.Now()) < Milliseconds(1600)));
}

// Guards against a change that is missed because the watch continues from a revision that the
// restored store gives out again. No call fails: the restore falls into the wait of a watch.
BOOST_AUTO_TEST_CASE(change_below_the_watched_revision_is_seen_after_a_restore) {
  Fixture f;
  f.store.Put("config", "3");
  f.store.BackUp();
  for (int i = 0; i < 10; ++i) {
    f.store.Put("other", std::to_string(i));
  }
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  f.store.Restore();
  f.store.Put("config", "5");
  f.loop.Advance(ConfigWatcher::kWatchWait + Milliseconds(100));
  BOOST_TEST(f.table.Version() == 5U);
}

// Guards against removed keys that stay accepted: the version that removed them may be among those
// that the restored store lacks.
BOOST_AUTO_TEST_CASE(older_version_of_a_restored_store_confirms_nothing) {
  Fixture f;
  f.store.Put("config", "9");
  f.store.BackUp();
  f.store.Put("config", "12");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(2000));
  f.store.m_down = false;
  f.store.Restore();
  f.loop.Advance(Milliseconds(1500));
  BOOST_TEST(f.table.Version() == 12U);
  BOOST_TEST((*f.table.Age(f.loop.Now()) > Milliseconds(3000)));
  // The operator writes it again.
  f.store.Put("config", "12");
  f.loop.Advance(Milliseconds(300));
  BOOST_TEST((*f.table.Age(f.loop.Now()) < Milliseconds(1000)));
}

// Guards against an operator who needs longer than the grace period: as long as the store holds an
// older version than the active one, it is known to lack versions, whose removed keys it cannot
// know.
BOOST_AUTO_TEST_CASE(older_version_confirms_nothing_however_long_it_stays) {
  Fixture f;
  f.store.Put("config", "9");
  f.store.BackUp();
  f.store.Put("config", "12");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(2000));
  f.store.m_down = false;
  f.store.Restore();
  f.loop.Advance(Milliseconds(20000));
  BOOST_TEST((*f.table.Age(f.loop.Now()) > Milliseconds(20000)));
  BOOST_TEST(f.table.Version() == 12U);
  // Callers are served again as soon as the operator has written.
  f.store.Put("config", "13");
  f.loop.Advance(Milliseconds(300));
  BOOST_TEST(f.table.Version() == 13U);
  BOOST_TEST((*f.table.Age(f.loop.Now()) < Milliseconds(3500)));
}

// The same where only another instance has seen the version that the restored store lacks.
BOOST_AUTO_TEST_CASE(version_that_another_instance_has_must_be_written_again) {
  for (const bool leads : {false, true}) {
    Fixture f;
    f.store.Put("config", "12");
    f.store.BackUp();
    f.watcher.Start();
    f.loop.Advance(Milliseconds(50));
    f.store.m_down = true;
    if (leads) {
      f.watcher.OnInstanceVersion(15);
    } else {
      f.watcher.OnRelayedConfig(15, "", 0, f.loop.Now());
    }
    f.loop.Advance(Milliseconds(2000));
    f.store.m_down = false;
    f.store.Restore();
    f.loop.Advance(Milliseconds(20000));
    BOOST_TEST((*f.table.Age(f.loop.Now()) > Milliseconds(20000)));
    f.store.Put("config", "15");
    f.loop.Advance(Milliseconds(1000));
    BOOST_TEST((*f.table.Age(f.loop.Now()) < Milliseconds(3500)));
  }
}

// Guards against an instance that started on a restored store, became the leader, and goes on
// accepting removed keys after it has heard of the version that removed them (soak, seed 6 of the
// hard transfers).
BOOST_AUTO_TEST_CASE(confirmation_ends_when_a_follower_has_a_newer_version) {
  Fixture f;
  f.store.Put("config", "9");
  f.store.m_stated_era = StoreEra::kFirst + 1;
  f.watcher.Start();
  f.watcher.SetRelaying(true);
  f.loop.Advance(Milliseconds(3000));
  BOOST_TEST(f.table.ConfirmedAt().has_value());
  f.watcher.OnInstanceVersion(9);
  BOOST_TEST(f.table.ConfirmedAt().has_value());
  f.watcher.OnInstanceVersion(12);
  BOOST_TEST(!f.table.ConfirmedAt().has_value());
  f.loop.Advance(Milliseconds(5000));
  BOOST_TEST(!f.table.ConfirmedAt().has_value());
  f.store.Put("config", "12");
  f.loop.Advance(Milliseconds(300));
  BOOST_TEST(f.table.ConfirmedAt().has_value());
}

// Guards against a leader that has not noticed the restore and relays what the store held before.
BOOST_AUTO_TEST_CASE(entry_relayed_from_before_a_restore_confirms_nothing) {
  Fixture f;
  f.store.Put("config", "9");
  f.store.BackUp();
  f.store.Put("config", "12");
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  const uint64_t revision = f.watcher.Confirmed()->revision;
  const TimePoint confirmed = f.watcher.Confirmed()->confirmed_at;
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(2000));
  f.store.m_down = false;
  f.store.Restore();
  for (int i = 0; i < 50; ++i) {
    f.loop.Advance(Milliseconds(100));
    f.watcher.OnRelayedConfig(12, "", revision, confirmed);
  }
  BOOST_TEST((*f.table.Age(f.loop.Now()) > Milliseconds(6900)));
}

// Guards against the same where the copy holds the active version, but a later one was lost that
// this instance has not seen.
BOOST_AUTO_TEST_CASE(active_version_of_a_restored_store_confirms_after_the_grace_period) {
  Fixture f;
  f.store.Put("config", "12");
  f.store.BackUp();
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(2000));
  f.store.m_down = false;
  f.store.Restore();
  f.loop.Advance(Milliseconds(1500));
  BOOST_TEST((*f.table.Age(f.loop.Now()) > Milliseconds(3000)));
  f.loop.Advance(Milliseconds(3000));
  BOOST_TEST((*f.table.Age(f.loop.Now()) <= ConfigWatcher::kWatchWait + Milliseconds(200)));
}

// Guards against callers that are refused for longer than the operator may need.
BOOST_AUTO_TEST_CASE(configuration_is_confirmed_as_soon_as_the_grace_period_has_ended) {
  for (const int started_at : {0, 60, 130, 200}) {
    Fixture f;
    f.loop.Advance(Milliseconds(started_at));
    f.store.Put("config", "9");
    f.store.m_stated_era = StoreEra::kFirst;
    f.watcher.Start();
    f.loop.Advance(Milliseconds(50));
    f.store.BackUp();
    f.store.m_down = true;
    f.loop.Advance(Milliseconds(2000));
    f.store.m_down = false;
    f.store.Restore();
    while (f.store.Era()->Current() <= StoreEra::kFirst) {
      f.loop.Advance(Milliseconds(1));
    }
    const TimePoint noticed = f.loop.Now();
    f.loop.Advance(Milliseconds(70 + started_at));
    f.store.Put("config/other", "x");  // Ends a watch early.
    f.loop.Advance(StoreEra::kRewriteGrace - Milliseconds(70 + started_at) - Milliseconds(10));
    BOOST_TEST((*f.table.ConfirmedAt() < noticed), started_at);
    f.loop.Advance(Milliseconds(60));
    BOOST_TEST((*f.table.ConfirmedAt() > noticed), started_at);
  }
}

// Guards against an instance that starts on a restored store and accepts removed keys: the store
// lacks the version that removed them, and the instances that have it are not asked (review/8).
BOOST_AUTO_TEST_CASE(start_on_a_restored_store_awaits_the_versions_of_the_others) {
  Fixture f;
  f.store.Put("config", "7");
  f.store.m_stated_era = StoreEra::kFirst + 1;
  f.watcher.Start();
  f.loop.Advance(Milliseconds(4000));
  BOOST_TEST(!f.table.ConfirmedAt().has_value());
  f.watcher.OnNewestVersion(8);  // The leader has heard of it from a follower.
  f.loop.Advance(Milliseconds(10000));
  BOOST_TEST(!f.table.ConfirmedAt().has_value());
  f.store.Put("config", "8");
  f.loop.Advance(Milliseconds(300));
  BOOST_TEST(f.table.ConfirmedAt().has_value());
}

// The same for the instance that becomes the leader: its followers have not reported yet.
BOOST_AUTO_TEST_CASE(leader_on_a_restored_store_awaits_the_reports_of_its_followers) {
  Fixture f;
  f.store.Put("config", "7");
  f.store.m_stated_era = StoreEra::kFirst + 1;
  f.watcher.Start();
  f.loop.Advance(Milliseconds(3000));
  f.watcher.SetRelaying(true);
  f.loop.Advance(ConfigWatcher::kFollowerReportTime - Milliseconds(50));
  BOOST_TEST(!f.table.ConfirmedAt().has_value());
  f.loop.Advance(ConfigWatcher::kRelayingWatchWait + Milliseconds(100));
  BOOST_TEST(f.table.ConfirmedAt().has_value());
}

// Guards against callers that are refused for good when no other instance is left.
BOOST_AUTO_TEST_CASE(start_on_a_restored_store_without_any_leader_confirms_in_the_end) {
  Fixture f;
  f.store.Put("config", "7");
  f.store.m_stated_era = StoreEra::kFirst + 1;
  f.watcher.Start();
  f.loop.Advance(ConfigWatcher::kMaxLeaderWait + ConfigWatcher::kWatchWait + Milliseconds(100));
  BOOST_TEST(f.table.ConfirmedAt().has_value());
}

// Guards against an instance that confirmed an older version by itself before it heard of the newer
// one, and goes on accepting removed keys.
BOOST_AUTO_TEST_CASE(confirmation_ends_when_the_leader_knows_a_newer_version) {
  Fixture f;
  f.store.Put("config", "7");
  f.store.m_stated_era = StoreEra::kFirst;
  f.watcher.Start();
  f.loop.Advance(Milliseconds(50));
  f.store.BackUp();
  f.store.m_down = true;
  f.loop.Advance(Milliseconds(1000));
  f.store.m_down = false;
  f.store.Restore();
  f.loop.Advance(Milliseconds(4000));
  BOOST_TEST(f.table.ConfirmedAt().has_value());
  f.watcher.OnNewestVersion(8);
  BOOST_TEST(!f.table.ConfirmedAt().has_value());
}

BOOST_AUTO_TEST_CASE(start_on_a_restored_store_confirms_after_the_grace_period) {
  Fixture f;
  f.store.Put("config", "9");
  f.store.m_stated_era = StoreEra::kFirst + 1;
  f.watcher.Start();
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.table.Version() == 9U);
  BOOST_TEST(!f.table.ConfirmedAt().has_value());
  f.store.Put("config", "12");
  f.loop.Advance(Milliseconds(300));
  BOOST_TEST(f.table.Version() == 12U);
  f.loop.Advance(Milliseconds(3500));
  BOOST_TEST((*f.table.Age(f.loop.Now()) <= ConfigWatcher::kWatchWait + Milliseconds(200)));
}

// Guards against unreadable entries of other writers that fill the memory, or the log at each list.
BOOST_AUTO_TEST_CASE(unreadable_entries_are_counted_and_few_are_remembered) {
  Fixture f;
  f.store.Put("up/sound", "ready");
  for (int i = 0; i < 600; ++i) {
    f.store.Put("up/odd-" + std::to_string(i) + std::string(400, 'x'), "?");
  }
  f.lister.Start();
  f.loop.Advance(Milliseconds(100));
  BOOST_TEST(f.fleet.Find("sound") != nullptr);
  BOOST_TEST(f.lister.UnreadableEntries() == 600U);
  const int logged = f.log.Count("upstream_unreadable");
  BOOST_TEST(logged <= 600);
  f.loop.Advance(Milliseconds(1000));  // One more list.
  BOOST_TEST(f.log.Count("upstream_unreadable") <= logged + 600 - 256);
}

// Guards against upstreams that are removed because the copy lacks them, although the store was
// away for a moment only.
BOOST_AUTO_TEST_CASE(upstreams_missing_after_a_short_restore_are_kept_for_the_grace_period) {
  Fixture f;
  f.store.Put("up/s1", "ready");
  f.store.BackUp();
  f.store.Put("up/s2", "ready");
  f.lister.Start();
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.fleet.All().size() == 2U);
  f.store.Restore();
  f.loop.Advance(Milliseconds(1500));
  BOOST_TEST(f.fleet.All().size() == 2U);
  f.loop.Advance(Milliseconds(3000));
  BOOST_TEST(f.fleet.All().size() == 1U);
}

// Guards against requests to an upstream whose leaving was read before the restore.
BOOST_AUTO_TEST_CASE(leaving_of_an_upstream_survives_a_restore) {
  Fixture f;
  f.store.Put("up/s1", "ready");
  f.store.Put("up/s2", "ready");
  f.store.BackUp();
  f.lister.Start();
  f.loop.Advance(Milliseconds(100));
  BOOST_TEST(f.fleet.All().size() == 2U);
  f.store.Put("up/s1", "draining");
  f.store.Remove("up/s2");
  f.loop.Advance(Milliseconds(1000));
  BOOST_TEST(f.fleet.Find("s1")->record.draining);
  BOOST_TEST(f.fleet.Find("s2") == nullptr);
  f.store.Restore();
  for (int i = 0; i < 20; ++i) {
    f.loop.Advance(Milliseconds(100));
    BOOST_TEST(f.fleet.Find("s1")->record.draining);
    BOOST_TEST(f.fleet.Find("s2") == nullptr);
  }
  // Entries of upstreams that do not write expire; these two go on to be written.
  f.loop.Advance(Milliseconds(6000));
  BOOST_TEST(!f.fleet.Find("s1")->record.draining);
  BOOST_TEST(f.fleet.Find("s2") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
