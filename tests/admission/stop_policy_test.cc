// Tests of the acceptance of requests after a stop signal.

#include "azuregw/admission/stop_policy.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

constexpr TimePoint kSignal{std::chrono::seconds(100)};

BOOST_AUTO_TEST_SUITE(stop_policy)

// Load pattern: most instances of a failure domain stop at once, so that the load balancer sends
// requests to them to the end. Guards against promises that outlast the process.
BOOST_AUTO_TEST_CASE(accepted_requests_end_before_the_process_exits) {
  for (const int grace : {500, 2000, 8000, 30000}) {
    const StopWindow window{kSignal, Milliseconds(grace)};
    BOOST_TEST((StopResponseTime(window) < StopExitTime(window)));
    BOOST_TEST((StopExitTime(window) < kSignal + window.grace));
    for (const int limit : {50, 300, 1000, 2500, 20000}) {
      for (int at = 0; at <= grace; at += 50) {
        const TimePoint now = kSignal + Milliseconds(at);
        const bool accepted = AcceptedWhileStopping(window, {Milliseconds(limit), false}, now);
        BOOST_TEST(accepted == (now + Milliseconds(limit) <= StopResponseTime(window)));
      }
    }
  }
}

// A stream that cannot be resumed is lost with the process, like an order.
BOOST_AUTO_TEST_CASE(only_resumable_streams_are_accepted_beyond_their_limit) {
  const StopWindow window{kSignal, Milliseconds(8000)};
  const TimePoint now = kSignal + Milliseconds(1000);
  BOOST_TEST(AcceptedWhileStopping(window, {Milliseconds(20000), true}, now));
  BOOST_TEST(!AcceptedWhileStopping(window, {Milliseconds(20000), false}, now));
  BOOST_TEST(
      !AcceptedWhileStopping(window, {Milliseconds(20000), true}, kSignal + Milliseconds(3000)));
  const StopWindow brief{kSignal, Milliseconds(1000)};
  BOOST_TEST(!AcceptedWhileStopping(brief, {Milliseconds(20000), true}, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
