// ShutdownSequence: invariant I6, a planned stop interrupts no request in progress.

#include "serve/shutdown_sequence.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

using Phase = ShutdownPhase;

const TimePoint kStart{std::chrono::hours(1)};

DrainSettings MakeDrain(int limit_ms, int ready_delay_ms) {
  DrainSettings settings;
  settings.limit = Milliseconds(limit_ms);
  settings.ready_delay = Milliseconds(ready_delay_ms);
  return settings;
}

BOOST_AUTO_TEST_SUITE(shutdown_sequence)

BOOST_AUTO_TEST_CASE(waits_for_load_balancers_and_then_for_work) {
  ShutdownSequence shutdown(MakeDrain(0, 1000));
  BOOST_TEST((shutdown.OnTick(kStart, 3) == Phase::kServing));
  shutdown.OnStop(kStart);
  BOOST_TEST((shutdown.OnTick(kStart + Milliseconds(999), 0) == Phase::kNotReady));
  BOOST_TEST((shutdown.OnTick(kStart + Milliseconds(1000), 3) == Phase::kFinishing));
  // Without a limit, the last request may take any time.
  BOOST_TEST((shutdown.OnTick(kStart + std::chrono::hours(48), 1) == Phase::kFinishing));
  BOOST_TEST((shutdown.OnTick(kStart + std::chrono::hours(48), 0) == Phase::kFinished));
}

BOOST_AUTO_TEST_CASE(second_stop_gives_up_the_work) {
  ShutdownSequence shutdown(MakeDrain(0, 0));
  shutdown.OnStop(kStart);
  BOOST_TEST((shutdown.OnTick(kStart, 1) == Phase::kFinishing));
  shutdown.OnStop(kStart);
  BOOST_TEST((shutdown.OnTick(kStart, 1) == Phase::kCut));
}

// Guards against an operator's repeated drain command cutting requests.
BOOST_AUTO_TEST_CASE(repeated_drains_cut_nothing) {
  ShutdownSequence shutdown(MakeDrain(0, 0));
  shutdown.OnDrain(kStart);
  shutdown.OnDrain(kStart);
  shutdown.OnStop(kStart);
  BOOST_TEST((shutdown.OnTick(kStart, 1) == Phase::kFinishing));
}

BOOST_AUTO_TEST_CASE(limit_ends_the_wait) {
  ShutdownSequence shutdown(MakeDrain(5000, 1000));
  shutdown.OnStop(kStart);
  BOOST_TEST((shutdown.OnTick(kStart + Milliseconds(1000), 1) == Phase::kFinishing));
  BOOST_TEST((shutdown.OnTick(kStart + Milliseconds(4999), 1) == Phase::kFinishing));
  BOOST_TEST((shutdown.OnTick(kStart + Milliseconds(5000), 1) == Phase::kCut));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
