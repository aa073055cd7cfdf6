// Tests of ControlState: readiness requires an active preset and, after a pause of the process, a
// refresh.

#include "control/control_state.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/fakes/preset_documents.h"

namespace azuregw {
namespace {

constexpr Milliseconds kTick{100};
constexpr Milliseconds kLongPause{5000};

ControlStateOptions MakeOptions(bool refresh_after_pause = true) {
  ControlStateOptions options;
  options.self = "gw-1";
  options.failure_domain = "fd-a";
  options.refresh_after_pause = refresh_after_pause;
  return options;
}

std::string MakeDocument() { return TestPresetDocument().dump(); }

std::unique_ptr<PeerGroup> MakePeers() {
  MemberView self;
  self.name = "gw-1";
  return MakeListPeerGroup(self);
}

// Returns whether the instance is ready after a pause, before the refresh has read anything.
bool ReadyRightAfterPause(bool refresh_after_pause) {
  ControlState state(MakeOptions(refresh_after_pause));
  TimePoint now{std::chrono::hours(1)};
  state.OnPreset(1, MakeDocument());
  state.OnTick(now);
  state.OnTick(now + kLongPause);
  return state.CurrentReadiness(false).ready;
}

BOOST_AUTO_TEST_SUITE(control_state)

// Guards against readiness without a valid preset, or while the peers refresh.
BOOST_AUTO_TEST_CASE(ready_only_with_a_preset) {
  ControlState state(MakeOptions());
  BOOST_TEST((state.CurrentReadiness(false).code == ResultCode::kNoPreset));
  state.OnPreset(1, "{}");
  BOOST_TEST((state.CurrentReadiness(false).code == ResultCode::kNoPreset));
  state.OnPreset(1, MakeDocument());
  BOOST_TEST(state.CurrentReadiness(false).ready);
  BOOST_TEST((state.CurrentReadiness(true).code == ResultCode::kNotReady));
}

// Guards against readiness without the code of its cause when a component fails or a drain starts.
BOOST_AUTO_TEST_CASE(not_ready_has_the_code_of_its_cause) {
  ControlState state(MakeOptions());
  state.OnPreset(1, MakeDocument());
  state.OnComponentStatus("fails too often: committer");
  BOOST_TEST((state.CurrentReadiness(false).code == ResultCode::kComponentFailed));
  state.OnComponentStatus("");
  BOOST_TEST(state.CurrentReadiness(false).ready);
  state.OnDrain();
  BOOST_TEST((state.CurrentReadiness(false).code == ResultCode::kDraining));
}

// Guards against using a preset revision or members from before a pause.
BOOST_AUTO_TEST_CASE(pause_requires_a_refresh) {
  BOOST_TEST(!ReadyRightAfterPause(true));
  BOOST_TEST(ReadyRightAfterPause(false));
}

// Guards against readiness after only one of the two reads of a refresh.
BOOST_AUTO_TEST_CASE(refresh_ends_after_both_reads) {
  ControlState state(MakeOptions());
  TimePoint now{std::chrono::hours(1)};
  state.OnPreset(1, MakeDocument());
  BOOST_TEST(!state.OnTick(now));
  BOOST_TEST(!state.OnTick(now += kTick));
  BOOST_TEST(state.OnTick(now += kLongPause));
  state.OnPresetRead(state.RefreshNumber());
  BOOST_TEST(!state.CurrentReadiness(false).ready);
  state.OnListRead(state.RefreshNumber());
  BOOST_TEST(state.CurrentReadiness(false).ready);
}

// Guards against completing a refresh by a read that started before the pause, or before a second
// pause.
BOOST_AUTO_TEST_CASE(older_reads_do_not_end_a_refresh) {
  ControlState state(MakeOptions());
  TimePoint now{std::chrono::hours(1)};
  state.OnPreset(1, MakeDocument());
  state.OnTick(now);
  state.OnTick(now += kLongPause);
  const uint64_t first = state.RefreshNumber();
  state.OnTick(now += kLongPause);
  for (const uint64_t number : {uint64_t{0}, first}) {
    state.OnPresetRead(number);
    state.OnListRead(number);
  }
  BOOST_TEST(state.IsRefreshing());
}

// Guards against new snapshots without a change, and against topology revisions that do not follow
// the preset and the leaving upstreams.
BOOST_AUTO_TEST_CASE(snapshot_changes_only_with_its_inputs) {
  ControlState state(MakeOptions());
  const auto peers = MakePeers();
  const auto first = state.NextSnapshot(nullptr, *peers);
  BOOST_REQUIRE(first);
  BOOST_TEST(!state.NextSnapshot(first.get(), *peers));
  state.OnPreset(4, MakeDocument());
  const auto second = state.NextSnapshot(first.get(), *peers);
  BOOST_REQUIRE(second);
  BOOST_TEST(second->preset_revision == 4u);
  BOOST_TEST(second->topology_revision == first->topology_revision + 1);
  peers->MarkUpstreamLeaving("design-a1", TimePoint());
  const auto third = state.NextSnapshot(second.get(), *peers);
  BOOST_REQUIRE(third);
  BOOST_TEST(third->leaving_upstreams.count("design-a1") == 1u);
  BOOST_TEST(third->topology_revision == second->topology_revision + 1);
  state.OnDrain();
  const auto fourth = state.NextSnapshot(third.get(), *peers);
  BOOST_REQUIRE(fourth);
  BOOST_TEST(fourth->draining);
  BOOST_TEST(fourth->topology_revision == third->topology_revision);
}

// Guards against a lagging list that clears the leaving mark of an engine.
BOOST_AUTO_TEST_CASE(lagging_list_does_not_remove_a_mark) {
  const auto peers = MakePeers();
  peers->MarkUpstreamLeaving("design-a1", TimePoint());
  ListedInstance live;
  live.name = "design-a1";
  live.role = ListedRole::kEngine;
  const std::vector<ListedInstance> list = {live};
  peers->OnList(list, TimePoint());
  BOOST_TEST(peers->LeavingUpstreams().count("design-a1") == 1u);
  peers->ReturnUpstream("design-a1", TimePoint());
  BOOST_TEST(peers->LeavingUpstreams().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
