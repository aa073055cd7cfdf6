// RestartPolicy: a failing component must neither spin nor be given up.

#include "azuregw/supervisor/restart_policy.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

RestartOptions Options() {
  RestartOptions options;
  options.first_delay = Milliseconds(10);
  options.last_delay = Milliseconds(100);
  options.max_failures = 3;
  options.window = Milliseconds(1000);
  return options;
}

BOOST_AUTO_TEST_SUITE(restart_policy)

BOOST_AUTO_TEST_CASE(delays_double_up_to_the_limit) {
  RestartPolicy policy(Options());
  const TimePoint now{std::chrono::hours(1)};
  for (const int expected : {10, 20, 40, 80, 100, 100}) {
    BOOST_TEST(policy.OnFailure(now).count() == expected);
  }
}

BOOST_AUTO_TEST_CASE(failures_are_forgotten_after_the_window) {
  RestartPolicy policy(Options());
  const TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 3; ++i) {
    policy.OnFailure(now);
  }
  BOOST_TEST(!policy.FailsTooOften(now));
  policy.OnFailure(now + Milliseconds(500));
  BOOST_TEST(policy.FailsTooOften(now + Milliseconds(500)));
  BOOST_TEST(!policy.FailsTooOften(now + Milliseconds(1001)));
  BOOST_TEST(policy.OnFailure(now + Milliseconds(3000)).count() == 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
