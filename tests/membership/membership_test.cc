// Membership on a simulated network: failure detection, refutation, leaving marks, process pauses
// and partitions.

#include "azuregw/membership/membership.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/fakes/member_network.h"

namespace azuregw {
namespace {

constexpr Milliseconds kSecond{1000};

size_t LiveCount(Membership& membership) { return membership.LiveMembers().size(); }

bool Sees(const Membership& membership, const std::string& name) {
  return !membership.AddressOf(name).empty();
}

bool IsMarkedLeaving(const Membership& membership, const std::string& upstream) {
  return membership.LeavingUpstreams().count(upstream) > 0;
}

ListedInstance Engine(const std::string& name, bool leaving) {
  return ListedInstance{name, ListedRole::kEngine, "127.0.0.1:9001", "", "fd-0", leaving};
}

BOOST_AUTO_TEST_SUITE(membership)

// Guards against false suspicions in a healthy fleet.
BOOST_AUTO_TEST_CASE(healthy_fleet_stays_complete) {
  MemberNetwork network(1);
  network.Add(9, 3);
  network.DeliverList();
  network.Run(60 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return LiveCount(m) == 9; }) == 9);
  BOOST_TEST(network.CountIf([](Membership& m) { return m.IsRefreshing(); }) == 0);
}

// Guards against slow or missing failure detection: an instance is suspect after 3 s and dead after
// 6 s without heartbeats.
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
  // The instance is still listed, which must not return it.
  network.DeliverList();
  network.Run(10 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Sees(m, "gw-4"); }) == 0);
}

// Guards against an instance that only one peer knows because the list lags.
BOOST_AUTO_TEST_CASE(unlisted_instance_becomes_known) {
  MemberNetwork network(3);
  network.Add(9, 3);
  network.DeliverList();
  network.Run(10 * kSecond);
  const std::vector<ListedInstance> old_list = network.List({});
  network.Add(1, 3);
  network.Send(9, network.At(9).OnList(old_list, network.At()));
  network.Run(3 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return LiveCount(m) == 10; }) == 10);
}

// Guards against marking live instances dead when one heartbeat in five is lost.
BOOST_AUTO_TEST_CASE(lost_heartbeats_do_not_remove_instances) {
  MemberNetwork network(4);
  network.Add(40, 4);
  network.DeliverList();
  network.SetLoss(0.2);
  int min_live = 40;
  for (int i = 0; i < 120; ++i) {
    network.Run(kSecond);
    network.CountIf([&min_live](Membership& m) {
      min_live = std::min(min_live, static_cast<int>(LiveCount(m)));
      return true;
    });
  }
  BOOST_TEST(min_live == 40);
}

void RunPause(bool refresh, int* false_suspicions) {
  MemberNetwork network(5);
  network.Add(
      9, 3, [refresh](MembershipOptions* options) { options->refresh_after_clock_jump = refresh; });
  network.DeliverList();
  network.Run(20 * kSecond);
  network.Pause(2, true);
  network.Run(30 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return Sees(m, "gw-2"); }) == 1);
  network.Pause(2, false);
  *false_suspicions = 0;
  // All other instances are healthy, so the resumed one must not report any as suspect or dead.
  for (int i = 0; i < 100; ++i) {
    for (const OutgoingHeartbeat& send : network.At(2).Tick(network.At())) {
      for (const auto& update : send.heartbeat.members) {
        *false_suspicions += update->name != "gw-2" && update->state >= wire::MemberState::Suspect;
      }
    }
    network.Run(MemberNetwork::kStep);
  }
  network.Run(10 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return LiveCount(m) == 9; }) == 9);
}

// Guards against a resumed process that suspects others because it received no heartbeats during
// its own pause. The run without the refresh shows that the refresh prevents this.
BOOST_AUTO_TEST_CASE(paused_instance_refreshes_before_it_suspects) {
  int false_suspicions = 0;
  RunPause(true, &false_suspicions);
  BOOST_TEST(false_suspicions == 0);
  RunPause(false, &false_suspicions);
  BOOST_TEST(false_suspicions > 0);
}

// Guards against two sides of a healed partition that never merge, and against a side that removes
// its own members because the other side considers them dead.
BOOST_AUTO_TEST_CASE(partition_heals) {
  MemberNetwork network(6);
  network.Add(40, 2);
  network.DeliverList();
  network.Run(10 * kSecond);
  for (int i = 0; i < 40; i += 2) {
    network.SetGroup(i, 1);
  }
  network.Run(120 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return LiveCount(m) == 20; }) == 40);
  for (int i = 0; i < 40; ++i) {
    network.SetGroup(i, 0);
  }
  int min_live = 40;
  const Milliseconds elapsed = network.RunUntil(60 * kSecond, [&network, &min_live] {
    network.CountIf([&min_live](Membership& m) {
      min_live = std::min(min_live, static_cast<int>(LiveCount(m)));
      return true;
    });
    return network.CountIf([](Membership& m) { return LiveCount(m) == 40; }) == 40;
  });
  BOOST_TEST(elapsed.count() < 60000);
  BOOST_TEST(min_live >= 20);
}

// Invariant I5: a leaving mark is known everywhere within 2 s after it is set, even if the list
// shows the upstream as live.
BOOST_AUTO_TEST_CASE(leaving_mark_reaches_all_and_outranks_the_list) {
  for (const bool marks_override : {true, false}) {
    MemberNetwork network(7);
    network.Add(60, 3, [marks_override](MembershipOptions* options) {
      options->marks_override_list = marks_override;
    });
    network.SetLoss(0.05);
    network.DeliverList({Engine("design-a1", false)});
    network.Run(10 * kSecond);
    network.Send(3, network.At(3).MarkUpstreamLeaving("design-a1", network.At()));
    network.Run(2 * kSecond);
    const auto marked_leaving = [](Membership& m) { return IsMarkedLeaving(m, "design-a1"); };
    BOOST_TEST(network.CountIf(marked_leaving) == 60);
    for (int i = 0; i < 60; ++i) {
      network.DeliverList({Engine("design-a1", false)});
      network.Run(kSecond);
    }
    // Without the rule, the lagging list clears the marks.
    BOOST_TEST(network.CountIf(marked_leaving) == (marks_override ? 60 : 0));
  }
}

// Guards against an upstream that stays marked as leaving although the list has matched the mark
// and has then shown the upstream live for 10 s.
BOOST_AUTO_TEST_CASE(list_returns_a_leaving_upstream) {
  MemberNetwork network(8);
  network.Add(9, 3);
  network.DeliverList({Engine("e", false)});
  network.Run(5 * kSecond);
  network.Send(0, network.At(0).MarkUpstreamLeaving("e", network.At()));
  network.Run(5 * kSecond);
  network.DeliverList({Engine("e", true)});
  network.Run(5 * kSecond);
  network.DeliverList({Engine("e", false)});
  BOOST_TEST(network.CountIf([](Membership& m) { return IsMarkedLeaving(m, "e"); }) == 9);
  for (int i = 0; i < 14; ++i) {
    network.Run(kSecond);
    network.DeliverList({Engine("e", false)});
  }
  network.Run(2 * kSecond);
  BOOST_TEST(network.CountIf([](Membership& m) { return IsMarkedLeaving(m, "e"); }) == 0);
}

// Guards against a load report measured before the mark clearing it.
BOOST_AUTO_TEST_CASE(load_report_returns_a_leaving_upstream) {
  MemberNetwork network(9);
  network.Add(2, 1);
  network.DeliverList();
  network.Run(5 * kSecond);
  Membership& first = network.At(0);
  network.Send(0, first.MarkUpstreamLeaving("e", network.At()));
  const int64_t marked = network.At().wall_ms;
  network.Run(20 * kSecond);
  network.Send(0, first.OnUpstreamReport("e", false, marked - 1000, network.At()));
  BOOST_TEST(IsMarkedLeaving(first, "e"));
  network.Send(0, first.OnUpstreamReport("e", false, marked + 19000, network.At()));
  BOOST_TEST(!IsMarkedLeaving(first, "e"));
  network.Run(2 * kSecond);
  BOOST_TEST(!IsMarkedLeaving(network.At(1), "e"));
}

// Guards against a failure domain with no watcher or with several.
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
