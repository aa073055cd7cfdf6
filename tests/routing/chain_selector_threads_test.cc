// Tests of concurrent use of one ChainSelector: threads select while snapshots change. A build with
// -fsanitize=thread detects data races.

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "azuregw/routing/chain_selector.h"
#include "tests/routing/test_topology.h"

namespace azuregw {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

// Selects chains and reports their outcomes; counts the selected chains in `complete`.
void UseSelector(ChainSelector* selector, const std::vector<Snapshot>& snapshots, int thread,
                 std::atomic<int>* complete) {
  for (int i = 0; i < 2000; ++i) {
    const TimePoint now = kStart + Milliseconds(i);
    const Snapshot& snapshot = snapshots[static_cast<size_t>(i / 100) % snapshots.size()];
    const Result<Chain> chain = selector->Select(snapshot, {"design", {1, 2}}, now);
    if (chain.has_error()) {
      continue;
    }
    for (const ChainStage& stage : chain.value().stages) {
      selector->OnSequenceStart(stage.upstream);
      EngineLoad load;
      load.running = i % 7;
      const bool fails = (i + thread) % 5 == 0;
      selector->OnStep(stage.upstream, 10.0, fails ? ResultCode::kUpstreamTimeout : ResultCode::kOk,
                       &load, now);
      selector->OnCacheEvents(stage.upstream, {{{static_cast<uint64_t>(i) + 1, true, 1}},
                                               static_cast<uint64_t>(i) + 1});
      selector->OnSequenceEnd(stage.upstream);
    }
    ++*complete;
  }
}

BOOST_AUTO_TEST_SUITE(chain_selector_threads)

// Guards against data races, and against requests without a chain while the topology changes.
BOOST_AUTO_TEST_CASE(select_while_snapshots_change) {
  TestTopology topology(16);
  const auto names = topology.AddEngines({0, 8}, 6, "a100", "fd-a");
  topology.AddEngines({8, 16}, 6, "a100", "fd-b");
  const std::vector<Snapshot> snapshots = {topology.MakeSnapshot(),
                                           topology.MakeSnapshot({names[0]}),
                                           topology.MakeSnapshot({names[1], names[2]})};
  const auto selector = MakeChainSelector(MakeRandom(5));
  std::atomic<int> complete{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&, t] { UseSelector(selector.get(), snapshots, t, &complete); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(complete == 8000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
