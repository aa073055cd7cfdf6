// Tests how long upstreams stay in use after the store has dropped their entries: within the
// leaving bound while the store is sound, and until they can be back after an outage.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/sync_instance.h"

namespace azuregw {
namespace {

constexpr Milliseconds kStep{10};
constexpr Milliseconds kExchangeInterval{150};

// A leader and a follower, each with a view of the same store, so that one of them can be cut off.
struct Fleets {
  explicit Fleets(const RemovalSettings& settings, int upstreams = 1) : bounds(settings) {
    Put("config", "3");
    for (int i = 0; i < upstreams; ++i) {
      Put("up/e" + std::to_string(i), "ready");
    }
    leader->lister.SetBounds(bounds);
    follower.lister.SetBounds(bounds);
    Lead();
    follower.lister.Start();
    Run(Milliseconds(3000));
  }

  void Put(const std::string& key, const std::string& value) {
    leader_view.Put(key, value);
    follower_view.Put(key, value);
  }
  void Remove(const std::string& key) {
    leader_view.Remove(key);
    follower_view.Remove(key);
  }
  void SetDown(bool down) {
    leader_view.m_down = down;
    follower_view.m_down = down;
  }
  // Begins the leadership of `leader`.
  void Lead() {
    leader->watcher.SetRelaying(true);
    leader->lister.SetRelaying(true);
    leader->watcher.Start();
    leader->lister.Start();
    loop.Advance(Milliseconds(50));
    leader_session.emplace(leader->state, "leader", 0.25);
    follower_session.emplace(follower.state, "follower", 0.5);
    follower_state = FollowerState();
  }
  // Ends the process of the leader, as the others see it. Its pending calls need the object.
  void LoseLeader() {
    leader_session.reset();
    leader_view.m_down = true;
    lost.push_back(std::move(leader));
  }
  // Starts a new process that leads.
  void StartLeader() {
    leader_view.m_down = false;
    leader = std::make_unique<SyncInstance>(&loop, &leader_view);
    leader->lister.SetBounds(bounds);
    Lead();
  }
  void Exchange() {
    BOOST_REQUIRE(leader_session->UpdateUpstreams());
    leader_session->OnReport(follower_session->BuildReport(), &follower_state);
    follower_session->OnUpdate(leader_session->UpdateFor(&follower_state, true));
  }
  // Advances the clock, with exchanges while there is a leader.
  void Run(Milliseconds time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      if (leader_session && loop.Now() >= next_exchange) {
        next_exchange = loop.Now() + kExchangeInterval;
        Exchange();
      }
      loop.Advance(kStep);
    }
  }
  bool FollowerUses(const std::string& id) const {
    const Upstream* const upstream = follower.fleet.Find(id);
    return upstream != nullptr && upstream->Accepts(loop.Now());
  }

  const RemovalBounds bounds;
  FakeLoop loop;
  FakeAsyncStore leader_view{&loop};
  FakeAsyncStore follower_view{&loop};
  std::unique_ptr<SyncInstance> leader = std::make_unique<SyncInstance>(&loop, &leader_view);
  std::vector<std::unique_ptr<SyncInstance>> lost;
  SyncInstance follower{&loop, &follower_view};
  std::optional<LeaderSession> leader_session;
  std::optional<FollowerSession> follower_session;
  FollowerState follower_state;
  TimePoint next_exchange;
};

BOOST_AUTO_TEST_SUITE(upstream_removal)

// Guards against requests to an upstream after the leaving bound: the loss of the leader counted as
// an outage of the store, and the missing entry was retained for 2 s.
BOOST_AUTO_TEST_CASE(loss_of_the_leader_is_no_outage_of_the_store) {
  for (const int bound : {500, 1000, 2000, 3000, 4000, 6000, 10000, 20000}) {
    for (const int removal : {0, 130, 700, 1900}) {
      for (const int heartbeat : {300, 1200, 3000}) {
        Fleets f({Milliseconds(bound), Milliseconds(heartbeat)});
        BOOST_REQUIRE(f.FollowerUses("e0"));
        f.LoseLeader();
        f.Run(Milliseconds(removal));
        f.Remove("up/e0");
        f.Run(Milliseconds(bound));
        BOOST_TEST(!f.FollowerUses("e0"), "bound " << bound << " removal " << removal);
        f.Run(Milliseconds(2500));
        BOOST_TEST(!f.FollowerUses("e0"));
      }
    }
  }
}

// Guards against the same when leaders are lost in turn, or the process of the leader is back at
// once and reads the list anew.
BOOST_AUTO_TEST_CASE(leaders_that_are_lost_in_turn_retain_nothing) {
  for (const int bound : {2000, 3000, 4000}) {
    for (const int gap : {0, 100, 1000, 1900, 2700}) {
      Fleets f({Milliseconds(bound)});
      f.LoseLeader();
      f.Run(Milliseconds(gap));
      f.StartLeader();
      f.Run(Milliseconds(200));
      f.LoseLeader();
      f.Remove("up/e0");
      f.Run(Milliseconds(gap));
      f.StartLeader();
      f.Run(Milliseconds(bound - gap));
      BOOST_TEST(!f.FollowerUses("e0"), "bound " << bound << " gap " << gap);
    }
  }
}

// Guards against an upstream that has left and is used again: a leader that was cut off from a
// sound store retained its entry and relayed it as a listed one.
BOOST_AUTO_TEST_CASE(leader_that_was_cut_off_brings_no_upstream_back) {
  for (const int cut : {2100, 2600, 3500, 5000}) {
    Fleets f({Milliseconds(3000)});
    f.leader_view.m_down = true;
    f.Run(Milliseconds(200));
    f.Remove("up/e0");
    const TimePoint removed = f.loop.Now();
    f.Run(Milliseconds(cut - 200));
    f.leader_view.m_down = false;
    while (f.loop.Now() < removed + Milliseconds(9000)) {
      f.Run(Milliseconds(50));
      const bool late = f.loop.Now() >= removed + Milliseconds(3000);
      BOOST_TEST(!(late && f.FollowerUses("e0")), "cut " << cut);
    }
  }
}

// Guards against a failed call from before the last list that counts as evidence of an outage when
// the leader is lost a minute later.
BOOST_AUTO_TEST_CASE(earlier_failed_call_is_no_evidence) {
  Fleets f({Milliseconds(3000)});
  f.LoseLeader();
  f.follower_view.m_down = true;
  f.Run(Milliseconds(3000));
  f.StartLeader();
  f.Run(Milliseconds(500));
  f.follower_view.m_down = false;
  f.Run(Milliseconds(60000));
  f.LoseLeader();
  f.Remove("up/e0");
  f.Run(Milliseconds(3000));
  BOOST_TEST(!f.FollowerUses("e0"));
}

// Guards against an empty fleet after an outage, whoever leads then: the leader that was there
// before, none, or a process that starts with a list that lacks most entries.
BOOST_AUTO_TEST_CASE(upstreams_that_live_outlast_an_outage_under_any_leader) {
  enum class Leader { kSame, kNone, kNew };
  constexpr int kUpstreams = 20;
  for (const Leader leader : {Leader::kSame, Leader::kNone, Leader::kNew}) {
    for (const int bound : {2000, 3000, 4000}) {
      Fleets f({Milliseconds(bound)}, kUpstreams);
      f.SetDown(true);
      if (leader != Leader::kSame) {
        f.LoseLeader();
      }
      f.Run(Milliseconds(5000));
      for (int i = 1; i < kUpstreams; ++i) {
        f.Remove("up/e" + std::to_string(i));
      }
      f.SetDown(false);
      if (leader == Leader::kNew) {
        f.StartLeader();
      }
      // One entry is back every 100 ms. The last one expires after the return of the store.
      for (int i = 1; i < kUpstreams; ++i) {
        if (i == 5) {
          f.Remove("up/e0");
        }
        f.Run(Milliseconds(90));
        for (int j = 0; j < kUpstreams; ++j) {
          BOOST_TEST(f.FollowerUses("e" + std::to_string(j)), "upstream " << j << " at " << i);
        }
        f.Put("up/e" + std::to_string(i), "ready");
      }
      f.Put("up/e0", "ready");
      f.Run(Milliseconds(8000));
      BOOST_TEST(f.follower.fleet.All().size() == static_cast<size_t>(kUpstreams));
      BOOST_TEST(f.follower.fleet.RetainedUpstreams() == 0U);
    }
  }
}

// Guards against entries that are retained for longer than the platform takes to list them again.
BOOST_AUTO_TEST_CASE(upstreams_that_do_not_come_back_after_an_outage_are_dropped) {
  Fleets f({Milliseconds(3000)});
  f.SetDown(true);
  f.Run(Milliseconds(5000));
  f.Remove("up/e0");
  f.SetDown(false);
  // A call in progress ends 1.5 s after it was sent.
  f.Run(Milliseconds(1500) + Milliseconds(400) + RemovalBounds::kRelistGrace);
  BOOST_TEST(!f.FollowerUses("e0"));
}

// Guards against the loss of the fleet of an instance that was suspended while the store was
// unavailable, and saw no call fail.
BOOST_AUTO_TEST_CASE(suspended_instance_retains_entries_that_expired_together) {
  constexpr int kUpstreams = 16;
  Fleets f({Milliseconds(3000)}, kUpstreams);
  f.LoseLeader();
  for (int i = 0; i < kUpstreams - 1; ++i) {
    f.Remove("up/e" + std::to_string(i));
  }
  f.loop.Suspend(Milliseconds(6000));
  f.Run(Milliseconds(1500));
  BOOST_TEST(f.FollowerUses("e0"));
  BOOST_TEST(f.follower.log.Count("upstreams_retained") == 1);
  f.Put("up/e0", "ready");
  f.Run(Milliseconds(3000));
  BOOST_TEST(f.FollowerUses("e0"));
  BOOST_TEST(f.follower.fleet.All().size() == 2U);
}

// Guards against many upstreams that leave together, without an outage, and are used beyond the
// leaving bound since they look as if they had expired.
BOOST_AUTO_TEST_CASE(many_upstreams_that_leave_together_are_dropped_within_the_bound) {
  for (const int bound : {500, 2000, 3000, 4000, 10000}) {
    for (const bool leader_lost : {false, true}) {
      Fleets f({Milliseconds(bound)}, 8);
      if (leader_lost) {
        f.LoseLeader();
      }
      for (int i = 0; i < 4; ++i) {
        f.Remove("up/e" + std::to_string(i));
      }
      f.Run(Milliseconds(bound));
      for (int i = 0; i < 4; ++i) {
        BOOST_TEST(!f.FollowerUses("e" + std::to_string(i)), "bound " << bound);
      }
      BOOST_TEST(f.FollowerUses("e7"));
    }
  }
}

// Guards against a sum of times that passes a bound under some setting.
BOOST_AUTO_TEST_CASE(sums_of_all_times_keep_the_bounds) {
  for (int bound = 500; bound <= 30000; bound += 10) {
    for (const int heartbeat : {100, 1200, 5000}) {
      const RemovalBounds bounds({Milliseconds(bound), Milliseconds(heartbeat)});
      for (const RemovalPath path :
           {RemovalPath::kOwnReads, RemovalPath::kLeaderLost, RemovalPath::kExpiredTogether}) {
        BOOST_TEST((bounds.LongestUse(path) <= Milliseconds(bound)), "bound " << bound);
      }
      BOOST_TEST((bounds.CallAllowance() >= Milliseconds(100)));
      BOOST_TEST((bounds.MaxRelayedListAge() > Milliseconds(0)));
      BOOST_TEST((bounds.ListInterval(true) <= bounds.ListInterval(false)));
      // A list cannot be trusted for longer after a restore than the entries of the copy last.
      BOOST_TEST((bounds.CopiedEntryTtl() > RemovalBounds::kRelistGrace));
      BOOST_TEST((bounds.MinExpiringOutage() < 3 * Milliseconds(heartbeat)));
    }
  }
  // A slow store takes 400 ms.
  BOOST_TEST((RemovalBounds({Milliseconds(2000)}).CallAllowance() >= Milliseconds(400)));
  // Below this, bounds cannot be kept; the store must not be called without a pause all the same.
  BOOST_TEST((RemovalBounds({Milliseconds(1)}).ListInterval(true) >= Milliseconds(50)));
  for (int bound = 1000; bound <= 30000; bound += 10) {
    const RemovalBounds bounds({Milliseconds(2000), Milliseconds(1200), Milliseconds(bound)});
    BOOST_TEST((bounds.MaxKeyAge() <= std::max(Milliseconds(1), Milliseconds(bound - 1500))));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
