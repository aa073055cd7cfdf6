// Tests of the committer's threads.

#include "azuregw/orders/order_committer.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/wait_until.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(order_committer)

// Guards against an outcome that arrives while the layout is loaded, and is queued for a layout
// that nobody loads again: it stayed unwritten as long as the process lived.
BOOST_AUTO_TEST_CASE(outcomes_during_the_load_of_the_layout_are_written) {
  constexpr int kCommitters = 150;
  constexpr int kThreads = 6;
  constexpr int kOutcomes = 40;
  for (int i = 0; i < kCommitters; ++i) {
    MemoryKeyValueStore store;
    std::atomic<bool> loading{false};
    store.SetHook([&loading](std::string_view /*op*/, std::string_view key) {
      if (key.find("layout") != std::string_view::npos) {
        loading = true;
      }
    });
    CommitterOptions options;
    options.initial_shards = 2;
    options.batcher.outcome_linger = Milliseconds(1);
    std::atomic<int> written{0};
    const auto committer = MakeOrderCommitter(&store, &SystemClock(), options);
    const auto record = [&](const std::string& key) {
      Claim claim;
      claim.key_hash = key;
      claim.claim_id = key;
      claim.state = ClaimState::kNotRun;
      claim.created_ms = SystemClock().WallMs();
      claim.deadline_ms = claim.created_ms + 1000;
      committer->Record(std::move(claim), [&written] { ++written; });
    };
    std::vector<std::thread> threads;
    for (int t = 0; t < kThreads; ++t) {
      threads.emplace_back([&, t] {
        while (!loading) {
        }
        for (int n = 0; n < kOutcomes; ++n) {
          record(std::to_string(t) + "-" + std::to_string(n));
        }
      });
    }
    record("first");  // Loads the layout.
    for (std::thread& thread : threads) {
      thread.join();
    }
    BOOST_REQUIRE(WaitUntil([&] { return written == kThreads * kOutcomes + 1; }));
    BOOST_TEST(committer->UnwrittenOutcomes() == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
