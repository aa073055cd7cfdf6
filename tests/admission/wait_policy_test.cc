// Waiting, refusing and the shared budget of repeats, each under the load that it answers.

#include "azuregw/admission/wait_policy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/admission/shared_retry_budget.h"
#include "azuregw/admission/stream_queue.h"
#include "azuregw/base/random.h"

namespace azuregw {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

WaitInputs Fresh(int queued, double starts_per_s) {
  WaitInputs inputs;
  inputs.target_latency = Milliseconds(500);
  inputs.time_left = Milliseconds(20000);
  inputs.queued_ahead = queued;
  inputs.starts_per_s = starts_per_s;
  return inputs;
}

// Takes the names of its streams down in the order of their start while there is room.
class Waiter final : public StreamWaiter {
 public:
  Waiter(std::string name, int* room, std::vector<std::string>* started)
      : m_name(std::move(name)), m_room(room), m_started(started) {}
  bool TryStart() override {
    if (*m_room == 0) {
      return false;
    }
    --*m_room;
    m_started->push_back(m_name);
    return true;
  }

 private:
  const std::string m_name;
  int* const m_room;
  std::vector<std::string>* const m_started;
};

BOOST_AUTO_TEST_SUITE(wait_policy)

BOOST_AUTO_TEST_CASE(short_queue_is_worth_waiting_for) {
  const auto wait = AllowedWait(Fresh(1, 10));
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST((*wait <= Milliseconds(300)));  // The prompt has to be read within the target, too.
}

// Load pattern: a burst at twice the capacity. Guards against callers who wait for a path that
// cannot be free in time.
BOOST_AUTO_TEST_CASE(long_queue_is_refused_at_once) {
  BOOST_TEST(!AllowedWait(Fresh(20, 10)).has_value());
  BOOST_TEST(!AllowedWait(Fresh(1, 0)).has_value());
}

// Guards against a second refusal of a caller who came back as told.
BOOST_AUTO_TEST_CASE(returning_caller_may_wait_longer) {
  WaitInputs inputs = Fresh(8, 10);
  BOOST_TEST(!AllowedWait(inputs).has_value());
  inputs.is_retry = true;
  BOOST_TEST(AllowedWait(inputs).has_value());
}

// Load pattern: many callers are refused in the same moment. Guards against their common return.
BOOST_AUTO_TEST_CASE(refused_callers_come_back_spread_out) {
  const auto random = MakeRandom(3);
  std::vector<int64_t> times;
  for (int i = 0; i < 200; ++i) {
    times.push_back(RetryAfter(Fresh(20, 10), random->Unit()).count());
    BOOST_TEST(times.back() >= 2000);           // When the present queue is gone.
    BOOST_TEST(times.back() <= 20000 / 3 + 1);  // Callers accept a third of their time.
  }
  std::sort(times.begin(), times.end());
  BOOST_TEST(times[150] - times[50] > 1000);
}

BOOST_AUTO_TEST_CASE(little_time_left_bounds_everything) {
  WaitInputs inputs = Fresh(0, 10);
  inputs.time_left = Milliseconds(30);
  BOOST_TEST((*AllowedWait(inputs) <= Milliseconds(15)));
  BOOST_TEST((RetryAfter(inputs, 0.5) <= Milliseconds(10)));
}

// Load pattern: overload. Guards against an order in which every answer is late because the oldest
// go first, and against more important callers behind less important ones.
BOOST_AUTO_TEST_CASE(those_still_in_time_start_first) {
  int room = 3;
  std::vector<std::string> started;
  StreamQueue queue;
  Waiter late("late", &room, &started);
  Waiter minor("minor", &room, &started);
  Waiter old_fresh("old", &room, &started);
  Waiter new_fresh("new", &room, &started);
  queue.Enqueue({&late, kNow - Milliseconds(900), kNow - Milliseconds(400), 0});
  queue.Enqueue({&minor, kNow - Milliseconds(200), kNow + Milliseconds(300), 2});
  queue.Enqueue({&new_fresh, kNow - Milliseconds(10), kNow + Milliseconds(490), 1});
  queue.Enqueue({&old_fresh, kNow - Milliseconds(100), kNow + Milliseconds(400), 1});
  queue.StartEligible(kNow);
  BOOST_TEST(started == (std::vector<std::string>{"old", "new", "minor"}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.Size() == 1);
  queue.Remove(&late);
  BOOST_TEST(queue.Size() == 0);
}

BOOST_AUTO_TEST_CASE(start_rate_is_that_of_the_last_seconds) {
  StreamQueue queue;
  for (int i = 0; i < 20; ++i) {
    queue.OnStarted(kNow + Milliseconds(100 * i));
  }
  BOOST_TEST(queue.StartsPerS(kNow + Milliseconds(1900)) == 10);
  BOOST_TEST(queue.StartsPerS(kNow + Milliseconds(5000)) == 0);
}

// The number of instances has been known for more than a window.
void Settle(SharedRetryBudget* budget, int instances) {
  budget->SetInstances(instances, kNow - Milliseconds(20000));
  budget->SetInstances(instances, kNow);
}

int TakeAll(SharedRetryBudget* budget, TimePoint now) {
  int taken = 0;
  while (budget->Take("model", now)) {
    ++taken;
  }
  return taken;
}

// Load pattern: callers who repeat at once and often, on all instances. Guards against more repeats
// than the instances may make together.
BOOST_AUTO_TEST_CASE(repeats_of_all_instances_stay_within_the_shared_budget) {
  constexpr int kInstances = 9;
  constexpr int kRequests = 100;
  std::vector<SharedRetryBudget> budgets(kInstances,
                                         SharedRetryBudget({0.2, 202, Milliseconds(10000)}));
  int repeats = 0;
  for (SharedRetryBudget& budget : budgets) {
    Settle(&budget, kInstances);
    for (int i = 0; i < kRequests; ++i) {
      budget.OnRequest("model", kNow + Milliseconds(90 * i));
      while (budget.Take("model", kNow + Milliseconds(90 * i))) {
        ++repeats;
      }
    }
  }
  BOOST_TEST(repeats > 100);
  BOOST_TEST(repeats <= 0.2 * kInstances * kRequests + 202);
}

BOOST_AUTO_TEST_CASE(budget_is_per_service_and_returns_with_the_window) {
  SharedRetryBudget budget({0.2, 10, Milliseconds(10000)});
  Settle(&budget, 1);
  while (budget.Take("model", kNow)) {
  }
  BOOST_TEST(budget.Take("orders", kNow));
  BOOST_TEST(!budget.Take("model", kNow + Milliseconds(9999)));
  BOOST_TEST(budget.Take("model", kNow + Milliseconds(10001)));
}

// Guards against 77 instances that each took the budget of a few, because a new holder of the duty
// had heard of few so far (swanlink grown trouble-1: 1,263 repeats where 1,219 were allowed).
BOOST_AUTO_TEST_CASE(a_new_holder_that_counts_from_one_does_not_raise_the_budget) {
  SharedRetryBudget budget({0.2, 338, Milliseconds(10000)});
  Settle(&budget, 77);
  for (int heard = 1; heard < 77; ++heard) {
    budget.SetInstances(heard, kNow + Milliseconds(20 * heard));
  }
  BOOST_TEST(TakeAll(&budget, kNow + Milliseconds(1500)) <= 338 / 77);
  // Instances that are really gone leave their part to the others.
  for (int second = 2; second < 30; ++second) {
    budget.SetInstances(30, kNow + Milliseconds(1000 * second));
  }
  BOOST_TEST(TakeAll(&budget, kNow + Milliseconds(30000)) > 338 / 77);
}

// Guards against instances that start and know nobody.
BOOST_AUTO_TEST_CASE(an_instance_that_knows_no_others_takes_little) {
  SharedRetryBudget budget({0.2, 338, Milliseconds(10000)});
  BOOST_TEST(TakeAll(&budget, kNow) <= 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
