// Tests of ChainSelector: chains are complete and avoid leaving, excluded and distant engines.

#include "azuregw/routing/chain_selector.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/routing/test_topology.h"

namespace azuregw {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

std::unique_ptr<ChainSelector> MakeSelector() { return MakeChainSelector(MakeRandom(7)); }

// Returns whether the stages cover layers 0 to `layers` without a gap or an overlap.
bool IsComplete(const Chain& chain, int layers) {
  int next = 0;
  for (const ChainStage& stage : chain.stages) {
    if (stage.range.first != next) {
      return false;
    }
    next = stage.range.last;
  }
  return next == layers;
}

// Returns the upstreams of the chains selected for `requests` requests.
std::set<std::string> UsedUpstreams(ChainSelector* selector, const Snapshot& snapshot,
                                    int requests) {
  std::set<std::string> used;
  for (int i = 0; i < requests; ++i) {
    const Result<Chain> chain =
        selector->Select(snapshot, {"design", {}}, kStart + Milliseconds(i));
    BOOST_REQUIRE(chain.has_value());
    for (const ChainStage& stage : chain.value().stages) {
      used.insert(stage.upstream);
    }
  }
  return used;
}

BOOST_AUTO_TEST_SUITE(chain_selector)

// Guards against gaps and overlaps in chains when ranges of different lengths are combined.
BOOST_AUTO_TEST_CASE(chains_cover_every_layer_once) {
  TestTopology topology(24);
  topology.AddEngines({0, 8}, 3, "a100", "fd-a");
  topology.AddEngines({8, 24}, 2, "a100", "fd-b");
  topology.AddEngines({0, 12}, 2, "h100", "fd-a");
  topology.AddEngines({12, 24}, 2, "h100", "fd-b");
  topology.AddEngines({4, 10}, 2, "h100", "fd-b");  // Not part of a complete chain.
  const Snapshot snapshot = topology.MakeSnapshot();
  const auto selector = MakeSelector();
  for (int i = 0; i < 200; ++i) {
    const Result<Chain> chain = selector->Select(snapshot, {"design", {}}, kStart);
    BOOST_REQUIRE(chain.has_value());
    BOOST_TEST(IsComplete(chain.value(), 24));
  }
}

// Guards against selection errors that callers cannot recognize as safe to retry.
BOOST_AUTO_TEST_CASE(errors_are_not_run) {
  TestTopology topology(24);
  topology.AddEngines({0, 8}, 3, "a100", "fd-a");
  const Snapshot snapshot = topology.MakeSnapshot();
  const auto selector = MakeSelector();
  const Result<Chain> gap = selector->Select(snapshot, {"design", {}}, kStart);
  BOOST_REQUIRE(gap.has_error());
  BOOST_TEST((gap.error().code == ResultCode::kNoChain));
  BOOST_TEST((gap.error().outcome == RunOutcome::kNotRun));
  const Result<Chain> unknown = selector->Select(snapshot, {"other", {}}, kStart);
  BOOST_REQUIRE(unknown.has_error());
  BOOST_TEST((unknown.error().code == ResultCode::kUnknownModel));
}

// Guards I5: an engine that is leaving according to the list, its own refusal or a load report
// receives no new sequences, even under an older snapshot.
BOOST_AUTO_TEST_CASE(leaving_engines_get_no_sequences) {
  TestTopology topology(8);
  const std::vector<std::string> names = topology.AddEngines({0, 8}, 4, "a100", "fd-a");
  const Snapshot old = topology.MakeSnapshot();
  const auto selector = MakeSelector();
  BOOST_TEST(UsedUpstreams(selector.get(), old, 100).size() == 4u);
  const Snapshot listed = topology.MakeSnapshot({names[0]});
  BOOST_TEST(UsedUpstreams(selector.get(), listed, 100).count(names[0]) == 0u);
  BOOST_TEST(UsedUpstreams(selector.get(), old, 100).count(names[0]) == 0u);
  selector->OnStep(names[1], 0, ResultCode::kUpstreamLeaving, nullptr, kStart);
  EngineLoad load;
  load.leaving = true;
  selector->OnLoad(names[2], load, kStart);
  BOOST_TEST(UsedUpstreams(selector.get(), listed, 100) == std::set<std::string>{names[3]});
}

// Shows that leaving_engines_get_no_sequences depends on the leaving state: without it, an engine
// that refused because it is leaving is selected again.
BOOST_AUTO_TEST_CASE(leaving_engines_are_selected_without_leaving_state) {
  TestTopology topology(8);
  const std::vector<std::string> names = topology.AddEngines({0, 8}, 4, "a100", "fd-a");
  const Snapshot snapshot = topology.MakeSnapshot();
  SelectorOptions options;
  options.use_leaving_state = false;
  const auto selector = MakeChainSelector(MakeRandom(7), options);
  UsedUpstreams(selector.get(), snapshot, 1);
  selector->OnStep(names[1], 0, ResultCode::kUpstreamLeaving, nullptr, kStart);
  BOOST_TEST(UsedUpstreams(selector.get(), snapshot, 100).count(names[1]) == 1u);
}

// Guards against an engine that returns under the same name and is never selected again, and
// against a report measured before the refusal that clears it.
BOOST_AUTO_TEST_CASE(returned_engine_is_used_again) {
  TestTopology topology(8);
  const std::vector<std::string> names = topology.AddEngines({0, 8}, 2, "a100", "fd-a");
  const Snapshot snapshot = topology.MakeSnapshot();
  const auto selector = MakeSelector();
  UsedUpstreams(selector.get(), snapshot, 1);
  selector->OnStep(names[0], 0, ResultCode::kUpstreamLeaving, nullptr, kStart);
  EngineLoad load;
  load.age = Milliseconds(1000);
  selector->OnLoad(names[0], load, kStart + Milliseconds(500));
  BOOST_TEST(UsedUpstreams(selector.get(), snapshot, 100).count(names[0]) == 0u);
  selector->OnLoad(names[0], load, kStart + Milliseconds(2000));
  bool used = false;
  for (int i = 0; i < 100 && !used; ++i) {
    const Result<Chain> chain =
        selector->Select(snapshot, {"design", {}}, kStart + std::chrono::seconds(20));
    used = chain.value().stages[0].upstream == names[0];
  }
  BOOST_TEST(used);
}

// Guards against a replacement that is excluded after a failure, or that holds other layers.
BOOST_AUTO_TEST_CASE(replacement_has_the_same_range_and_is_not_excluded) {
  TestTopology topology(16);
  const std::vector<std::string> first = topology.AddEngines({0, 8}, 3, "a100", "fd-a");
  topology.AddEngines({8, 16}, 3, "a100", "fd-a");
  const Snapshot snapshot = topology.MakeSnapshot();
  const auto selector = MakeSelector();
  const std::vector<std::string> excluded = {first[0], first[2]};
  for (int i = 0; i < 20; ++i) {
    const auto stage =
        selector->SelectReplacement(snapshot, "design", {0, 8}, excluded, "fd-a", kStart);
    BOOST_REQUIRE(stage.has_value());
    BOOST_TEST(stage.value().upstream == first[1]);
  }
  const auto none = selector->SelectReplacement(snapshot, "design", {0, 8}, first, "", kStart);
  BOOST_REQUIRE(none.has_error());
  BOOST_TEST((none.error().code == ResultCode::kNoChain));
}

// Guards against chains over a slow link while engines in the same failure domain are idle.
BOOST_AUTO_TEST_CASE(slow_links_are_avoided) {
  TestTopology topology(16);
  topology.SetLink("fd-a", "fd-far", 50.0);
  const auto near = topology.AddEngines({0, 8}, 2, "a100", "fd-a");
  topology.AddEngines({0, 8}, 2, "a100", "fd-far");
  topology.AddEngines({8, 16}, 2, "a100", "fd-a");
  topology.AddEngines({8, 16}, 2, "a100", "fd-far");
  const Snapshot snapshot = topology.MakeSnapshot();
  const auto selector = MakeSelector();
  for (int i = 0; i < 100; ++i) {
    const Result<Chain> chain = selector->Select(snapshot, {"design", {}}, kStart);
    for (const ChainStage& stage : chain.value().stages) {
      BOOST_TEST(stage.failure_domain == "fd-a");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
