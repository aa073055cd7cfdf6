// Tests of the age up to which API keys are accepted.

#include "azuregw/routes/key_age.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(key_age)

BOOST_AUTO_TEST_CASE(limit_leaves_time_to_notice_a_removal) {
  BOOST_TEST((KeyAgeLimit(Milliseconds(5000)) == Milliseconds(3500)));
  BOOST_TEST((KeyAgeLimit(Milliseconds(0)) == Milliseconds(0)));
}

// Guards against a bound that is too short to be kept and switches the limit off.
BOOST_AUTO_TEST_CASE(short_bound_accepts_no_old_configuration) {
  for (const int bound : {1, 1000, 1500}) {
    BOOST_TEST((KeyAgeLimit(Milliseconds(bound)) == Milliseconds(1)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
