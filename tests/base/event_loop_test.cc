// Timers of the event loop.

#include "azuregw/base/event_loop.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(event_loop)

// Guards against the action of a destroyed timer: two timers expire in the same turn of the loop
// and the first one destroys the second, whose handler is already queued (exit 139 on the users'
// bench).
BOOST_AUTO_TEST_CASE(destroyed_timer_does_not_run_after_it_expired) {
  boost::asio::io_context context;
  const auto loop = MakeEventLoop(&context);
  std::unique_ptr<Timer> second;
  bool second_ran = false;
  const std::unique_ptr<Timer> first = loop->After(Milliseconds(1), [&] { second.reset(); });
  second = loop->After(Milliseconds(1), [&] { second_ran = true; });
  // Both are overdue before the loop looks at them.
  const TimePoint begin = loop->Now();
  while (loop->Now() - begin < Milliseconds(5)) {
  }
  context.run();
  BOOST_TEST(!second_ran);
}

BOOST_AUTO_TEST_CASE(timer_runs_once_after_its_delay) {
  boost::asio::io_context context;
  const auto loop = MakeEventLoop(&context);
  int runs = 0;
  const TimePoint begin = loop->Now();
  const std::unique_ptr<Timer> timer = loop->After(Milliseconds(3), [&] { ++runs; });
  context.run();
  BOOST_TEST(runs == 1);
  BOOST_TEST((loop->Now() - begin >= Milliseconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
