// StepBatcher: bounded calls per engine, decode steps together, a prefill alone.

#include "azuregw/engine/step_batcher.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace azuregw {
namespace {

using Steps = std::vector<uint64_t>;

BOOST_AUTO_TEST_SUITE(step_batcher)

// Guards against more calls in flight than allowed, and against steps that wait forever.
BOOST_AUTO_TEST_CASE(steps_that_arrive_meanwhile_share_the_next_call) {
  StepBatcher batcher({1, 1, 256, 4096});
  batcher.Add(1, false, "");
  BOOST_TEST(batcher.NextBatch().steps == Steps({1}));
  batcher.Add(2, false, "");
  batcher.Add(3, false, "");
  BOOST_TEST(batcher.NextBatch().steps.empty());
  batcher.OnBatchDone("");
  BOOST_TEST(batcher.NextBatch().steps == Steps({2, 3}));
  BOOST_TEST(batcher.InFlight() == 1);
}

// Guards against a long prefill that delays decode steps in its call, and against a prefill that
// never gets its turn.
BOOST_AUTO_TEST_CASE(a_prefill_travels_alone) {
  StepBatcher batcher({8, 1, 256, 4096});
  batcher.Add(1, false, "");
  batcher.Add(2, true, "");
  batcher.Add(3, false, "");
  batcher.Add(4, true, "");
  BOOST_TEST(batcher.NextBatch().steps == Steps({1, 3}));
  batcher.Add(5, false, "");
  BOOST_TEST(batcher.NextBatch().steps == Steps({2}));
  BOOST_TEST(batcher.NextBatch().steps == Steps({4}));
  BOOST_TEST(batcher.NextBatch().steps == Steps({5}));
  BOOST_TEST(batcher.NextBatch().steps.empty());
}

// Guards against a frozen source that holds up the steps of other sources in the same call.
BOOST_AUTO_TEST_CASE(steps_of_one_call_have_one_source) {
  StepBatcher batcher({8, 1, 256, 4096});
  batcher.Add(1, false, "a");
  batcher.Add(2, false, "b");
  batcher.Add(3, false, "a");
  BOOST_TEST(batcher.NextBatch().steps == Steps({1, 3}));
  BOOST_TEST(batcher.NextBatch().steps == Steps({2}));
}

// Guards against calls that hang on one source and take the room of all others.
BOOST_AUTO_TEST_CASE(calls_per_source_are_bounded) {
  StepBatcher batcher({3, 2, 256, 4096});
  for (uint64_t step = 1; step <= 4; ++step) {
    batcher.Add(step, true, "a");
  }
  batcher.Add(5, true, "b");
  BOOST_TEST(batcher.NextBatch().steps == Steps({1}));
  BOOST_TEST(batcher.NextBatch().steps == Steps({2}));
  BOOST_TEST(batcher.NextBatch().steps == Steps({5}));
  batcher.OnBatchDone("b");
  BOOST_TEST(batcher.NextBatch().steps.empty());
  batcher.OnBatchDone("a");
  BOOST_TEST(batcher.NextBatch().steps == Steps({3}));
}

// Guards against unbounded calls and queues.
BOOST_AUTO_TEST_CASE(sizes_are_bounded) {
  StepBatcher batcher({1, 1, 2, 3});
  BOOST_TEST(batcher.Add(1, false, ""));
  BOOST_TEST(batcher.Add(2, false, ""));
  BOOST_TEST(batcher.Add(3, false, ""));
  BOOST_TEST(!batcher.Add(4, false, ""));
  BOOST_TEST(batcher.NextBatch().steps == Steps({1, 2}));
  BOOST_TEST(batcher.WaitingCount() == 1u);
}

// Guards against a late step that is still sent after its timeout.
BOOST_AUTO_TEST_CASE(removed_steps_are_not_sent) {
  StepBatcher batcher({1, 1, 256, 4096});
  batcher.Add(1, false, "");
  batcher.Add(2, false, "");
  BOOST_TEST(batcher.Remove(1));
  BOOST_TEST(!batcher.Remove(1));
  BOOST_TEST(batcher.NextBatch().steps == Steps({2}));
  BOOST_TEST(!batcher.Remove(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
