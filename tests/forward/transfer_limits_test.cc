// Tests of the check of settings against the limits of transfers.

#include "azuregw/forward/transfer_limits.h"

#include <boost/test/unit_test.hpp>

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(transfer_limits)

BOOST_AUTO_TEST_CASE(default_settings_are_accepted) {
  BOOST_TEST(CheckTransferLimits(GatewaySettings()).has_value());
}

// Guards against an instance that starts with settings under which it can serve nobody, or keeps
// accepting removed keys.
BOOST_AUTO_TEST_CASE(contradicting_settings_are_refused) {
  GatewaySettings little_memory;
  little_memory.memory_bytes = uint64_t{4} << 20;
  BOOST_TEST(!CheckTransferLimits(little_memory).has_value());
  GatewaySettings few_descriptors;
  few_descriptors.max_descriptors = 210;
  BOOST_TEST(!CheckTransferLimits(few_descriptors).has_value());
  GatewaySettings short_bound;
  short_bound.key_removal_bound = Milliseconds(1500);
  BOOST_TEST(!CheckTransferLimits(short_bound).has_value());
  short_bound.key_removal_bound = Milliseconds(1501);
  BOOST_TEST(CheckTransferLimits(short_bound).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
