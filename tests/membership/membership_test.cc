// Membership over an in-memory network: detection, refutation, leaving marks, pauses, partitions.

#include "azuregw/membership/membership.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/fakes/member_network.h"

namespace azuregw {
namespace {

constexpr Milliseconds kSecond{1000};

size_t Live(Membership& membership) { return membership.LiveMembers().size(); }

bool Sees(const Membership& membership, const std::string& name) {
  return !membership.AddressOf(name).empty();
}

bool HoldsLeaving(const Membership& membership, const std::string& upstream) {
  return membership.LeavingUpstreams().count(upstream) > 0;
}

ListedInstance Engine(const std::string& name, bool leaving) {
  return ListedInstance{name, ListedRole::kEngine, "127.0.0.1:9001", "", "fd-0", leaving};
}

BOOST_AUTO_TEST_SUITE(membership)

// Guards against false verdicts in a healthy fleet.
BOOST_AUTO_TEST_CASE(healthy_fleet_stays_complete) {
  MemberNetwork network(1);
  network.Add(9, 3);
  network.DeliverList();
  network.Run(60 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Live(m) == 9; }) == 9);
  BOOST_TEST(network.CountIf([](Membership& m) { return m.IsRefreshing(); }) == 0);
}

// Guards against slow or missing detection: suspect after 3 s and dead after 6 s of silence.
BOOST_AUTO_TEST_CASE(silent_instance_is_dead_after_six_seconds) {
  MemberNetwork network(2);
  network.Add(9, 3);
  network.DeliverList();
  network.Run(20 * kSecond);
  network.Stop(4);
  network.Run(4 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Sees(m, "gw-4"); }) == 8);
  network.Run(5 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Sees(m, "gw-4"); }) == 0);
  // The list still names it; that must not revive it.
  network.DeliverList();
  network.Run(10 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Sees(m, "gw-4"); }) == 0);
}

// Guards against an instance that nobody but one peer knows, because the list lags.
BOOST_AUTO_TEST_CASE(unlisted_instance_becomes_known) {
  MemberNetwork network(3);
  network.Add(9, 3);
  network.DeliverList();
  network.Run(10 * kSecond);
  const std::vector<ListedInstance> old_list = network.List({});
  network.Add(1, 3);
  network.Send(9, network.At(9).OnList(old_list, network.At()));
  network.Run(3 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Live(m) == 10; }) == 10);
}

// Guards against verdicts over live instances when one heartbeat in five is lost.
BOOST_AUTO_TEST_CASE(lost_heartbeats_do_not_kill) {
  MemberNetwork network(4);
  network.Add(40, 4);
  network.DeliverList();
  network.SetLoss(0.2);
  int lowest = 40;
  for (int i = 0; i < 120; ++i) {
    network.Run(kSecond);
    network.CountIf([&lowest](Membership& m) {
      lowest = std::min(lowest, static_cast<int>(Live(m)));
      return true;
    });
  }
  BOOST_TEST(lowest == 40);
}

void RunPause(bool refresh, int* wrongly_dead) {
  MemberNetwork network(5);
  network.Add(
      9, 3, [refresh](MembershipOptions* options) { options->refresh_after_clock_jump = refresh; });
  network.DeliverList();
  network.Run(20 * kSecond);
  network.Pause(2, true);
  network.Run(30 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Sees(m, "gw-2"); }) == 1);
  network.Pause(2, false);
  *wrongly_dead = 0;
  // The others are healthy, so the resumed instance must not report any of them as suspect.
  for (int i = 0; i < 100; ++i) {
    for (const OutgoingHeartbeat& send : network.At(2).Tick(network.At())) {
      for (const auto& update : send.heartbeat.members) {
        *wrongly_dead += update->name != "gw-2" && update->state >= wire::MemberState::Suspect;
      }
    }
    network.Run(MemberNetwork::kStep);
  }
  network.Run(10 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Live(m) == 9; }) == 9);
}

// Guards against a resumed process that judges the others by its own silence. The second run shows
// that the refresh is what prevents it.
BOOST_AUTO_TEST_CASE(paused_instance_refreshes_before_it_judges) {
  int wrongly_dead = 0;
  RunPause(true, &wrongly_dead);
  BOOST_TEST(wrongly_dead == 0);
  RunPause(false, &wrongly_dead);
  BOOST_TEST(wrongly_dead > 0);
}

// Guards against two halves that never find each other again, and against a half that drops its own
// members when it learns the other half's verdicts.
BOOST_AUTO_TEST_CASE(partition_heals) {
  MemberNetwork network(6);
  network.Add(40, 2);
  network.DeliverList();
  network.Run(10 * kSecond);
  for (int i = 0; i < 40; i += 2) {
    network.SetGroup(i, 1);
  }
  network.Run(120 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Live(m) == 20; }) == 40);
  for (int i = 0; i < 40; ++i) {
    network.SetGroup(i, 0);
  }
  int lowest = 40;
  const Milliseconds took = network.RunUntil(60 * kSecond, [&network, &lowest] {
    network.CountIf([&lowest](Membership& m) {
      lowest = std::min(lowest, static_cast<int>(Live(m)));
      return true;
    });
    return network.CountIf([](Membership& m) { return Live(m) == 40; }) == 40;
  });
  BOOST_TEST(took.count() < 60000);
  BOOST_TEST(lowest >= 20);
}

// Invariant I5: a leaving mark is known everywhere within 2 s of its first notice, also when the
// list shows the upstream as live.
BOOST_AUTO_TEST_CASE(leaving_mark_reaches_all_and_outranks_the_list) {
  for (const bool outranked : {true, false}) {
    MemberNetwork network(7);
    network.Add(60, 3, [outranked](MembershipOptions* options) {
      options->marks_override_list = outranked;
    });
    network.SetLoss(0.05);
    network.DeliverList({Engine("design-a1", false)});
    network.Run(10 * kSecond);
    network.Send(3, network.At(3).MarkUpstreamLeaving("design-a1", network.At()));
    network.Run(2 * kSecond);
    const auto holds = [](Membership& m) { return HoldsLeaving(m, "design-a1"); };
    BOOST_TEST(network.CountIf(holds) == 60);
    for (int i = 0; i < 60; ++i) {
      network.DeliverList({Engine("design-a1", false)});
      network.Run(kSecond);
    }
    // With the rule switched off, the lagging list makes the upstream eligible again.
    BOOST_TEST(network.CountIf(holds) == (outranked ? 60 : 0));
  }
}

// Guards against an upstream that stays barred after it came back: by the list, once the list had
// caught up with the mark.
BOOST_AUTO_TEST_CASE(returned_upstream_by_the_list) {
  MemberNetwork network(8);
  network.Add(9, 3);
  network.DeliverList({Engine("e", false)});
  network.Run(5 * kSecond);
  network.Send(0, network.At(0).MarkUpstreamLeaving("e", network.At()));
  network.Run(5 * kSecond);
  network.DeliverList({Engine("e", true)});
  network.Run(5 * kSecond);
  network.DeliverList({Engine("e", false)});
  BOOST_TEST(network.CountIf([](Membership& m) { return HoldsLeaving(m, "e"); }) == 9);
  for (int i = 0; i < 14; ++i) {
    network.Run(kSecond);
    network.DeliverList({Engine("e", false)});
  }
  network.Run(2 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return HoldsLeaving(m, "e"); }) == 0);
}

// Guards against a load report from before the mark lifting it.
BOOST_AUTO_TEST_CASE(returned_upstream_by_its_own_report) {
  MemberNetwork network(9);
  network.Add(2, 1);
  network.DeliverList();
  network.Run(5 * kSecond);
  Membership& first = network.At(0);
  network.Send(0, first.MarkUpstreamLeaving("e", network.At()));
  const int64_t marked = network.At().wall_ms;
  network.Run(20 * kSecond);
  network.Send(0, first.OnUpstreamReport("e", false, marked - 1000, network.At()));
  BOOST_TEST(HoldsLeaving(first, "e"));
  network.Send(0, first.OnUpstreamReport("e", false, marked + 19000, network.At()));
  BOOST_TEST(!HoldsLeaving(first, "e"));
  network.Run(2 * kSecond);
  BOOST_TEST(!HoldsLeaving(network.At(1), "e"));
}

// Guards against several watchers, or none, for a failure domain.
BOOST_AUTO_TEST_CASE(one_watcher_per_failure_domain) {
  MemberNetwork network(10);
  network.Add(9, 3);
  network.DeliverList();
  network.Run(10 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return m.IsWatcher(); }) == 3);
  const std::string watcher = network.At(0).WatcherOf("fd-1");
  network.Stop(std::stoi(watcher.substr(3)));
  network.Run(10 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return m.IsWatcher(); }) == 3);
  BOOST_TEST(network.At(0).WatcherOf("fd-1") != watcher);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
