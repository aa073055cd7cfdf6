// The adaptive limit: its bounds, and what moves it.

#include "azuregw/admission/adaptive_limit.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

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

// Guards against a limit above what the upstreams can run, or of zero.
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

// Guards against growth without demand, which would admit a later burst at once.
BOOST_AUTO_TEST_CASE(grows_only_in_use) {
  AdaptiveLimit limit;
  limit.SetCapacity(100, 10);
  Driver(&limit).Run(100, 60, false);
  BOOST_TEST(limit.Limit() == 10);
}

// Guards against a limit that stays low until it has adapted, after other instances are gone.
BOOST_AUTO_TEST_CASE(follows_the_number_of_instances_at_once) {
  AdaptiveLimit limit;
  limit.SetCapacity(90, 9);
  limit.SetCapacity(90, 6);
  BOOST_TEST(limit.Limit() == 15);
}

// Guards against several decreases for one overload.
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
