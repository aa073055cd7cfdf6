// Tests of LoadEstimator: combination of delayed reports with the current local count.

#include "azuregw/routing/load_table.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

EngineLoad MakeReport(int running, int age_ms) {
  EngineLoad load;
  load.running = running;
  load.age = Milliseconds(age_ms);
  return load;
}

BOOST_AUTO_TEST_SUITE(load_table)

// Guards against counting local sequences twice, or not at all, if a report precedes their start.
BOOST_AUTO_TEST_CASE(own_sequences_are_counted_once) {
  LoadEstimator load;
  load.OnStart(kStart);
  load.OnReport(MakeReport(5, 1000), kStart + Milliseconds(500));  // Measured before the start.
  BOOST_TEST(load.Sequences(kStart + Milliseconds(500), 0) == 6.0);
  LoadEstimator other;
  other.OnStart(kStart);
  other.OnReport(MakeReport(5, 1000), kStart + Milliseconds(2000));  // Measured after the start.
  BOOST_TEST(other.Sequences(kStart + Milliseconds(2000), 0) == 5.0);
  other.OnEnd(kStart + Milliseconds(2000));
  BOOST_TEST(other.Sequences(kStart + Milliseconds(2000), 0) == 4.0);
}

// Guards against an older report that replaces a newer one, and against reports that never expire.
BOOST_AUTO_TEST_CASE(reports_expire) {
  LoadEstimator load;
  BOOST_TEST(load.Sequences(kStart, 3) == 3.0);
  load.OnReport(MakeReport(8, 0), kStart);
  load.OnReport(MakeReport(1, 500), kStart + Milliseconds(100));
  BOOST_TEST(load.UnsmoothedSequences(kStart + Milliseconds(100), 0) == 8.0);
  BOOST_TEST(load.Sequences(kStart + std::chrono::minutes(1), 3) == 3.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
