// Tests of AdaptiveLimit: bounds, growth, decrease and changes of the instance count.

#include "azuregw/admission/adaptive_limit.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

// Feeds results to a limit, 40 per second.
struct Driver {
  explicit Driver(AdaptiveLimit* driven) : limit(driven) {}
  void Run(int latency_ms, int seconds, bool busy = true) {
    for (int i = 0; i < seconds * 40; ++i) {
      now += Milliseconds(25);
      limit->OnResult(Milliseconds(latency_ms), busy ? limit->Limit() : 1, now);
    }
  }
  AdaptiveLimit* limit;
  TimePoint now{std::chrono::hours(1)};
};

BOOST_AUTO_TEST_SUITE(adaptive_limit)

// Guards against a limit of zero or above the capacity of the upstreams.
BOOST_AUTO_TEST_CASE(stays_within_bounds) {
  AdaptiveLimit limit;
  limit.SetCapacity(100, 10);
  BOOST_TEST(limit.Limit() == 10);
  Driver driver(&limit);
  driver.Run(100, 300);
  BOOST_TEST(limit.Limit() == 100);
  driver.Run(5000, 300);
  BOOST_TEST(limit.Limit() >= 1);
  BOOST_TEST(limit.Limit() < 60);
}

// Guards against growth without demand, after which a burst would be admitted in full.
BOOST_AUTO_TEST_CASE(grows_only_in_use) {
  AdaptiveLimit limit;
  limit.SetCapacity(100, 10);
  Driver(&limit).Run(100, 60, false);
  BOOST_TEST(limit.Limit() == 10);
}

// Guards against a limit that stays low after other instances have left, until it has adapted.
BOOST_AUTO_TEST_CASE(follows_the_number_of_instances_at_once) {
  AdaptiveLimit limit;
  limit.SetCapacity(90, 9);
  limit.SetCapacity(90, 6);
  BOOST_TEST(limit.Limit() == 15);
}

// Guards against more than one decrease for one overload.
BOOST_AUTO_TEST_CASE(one_decrease_per_window) {
  AdaptiveLimit limit;
  limit.SetCapacity(100, 1);
  const TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 50; ++i) {
    limit.OnOverload(50, now + Milliseconds(i));
  }
  BOOST_TEST(limit.Limit() == 70);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
