// Tests the accounting of links between failure domains.

#include "azuregw/fleet/link_load.h"

#include <boost/test/unit_test.hpp>

#include "azuregw/fleet/fleet_load_table.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

BOOST_AUTO_TEST_SUITE(link_load)

BOOST_AUTO_TEST_CASE(links_are_directed) {
  BOOST_TEST(LinkBetween("a", "b") != LinkBetween("b", "a"));
  BOOST_TEST(LinkBetween("a", "b") == LinkBetween("a", "b"));
  BOOST_TEST(LinkBetween("ab", "c") != LinkBetween("a", "bc"));
}

BOOST_AUTO_TEST_CASE(rate_decays_after_the_last_transfer) {
  LinkLoad links;
  const LinkId link = LinkBetween("a", "b");
  links.OnTransfer(link, 800, kNow);
  BOOST_TEST(links.Rate(link, kNow, 0) == 800, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(links.Rate(link, kNow + Milliseconds(1000), 0) == 294.3,
             boost::test_tools::tolerance(1e-3));
  BOOST_TEST(links.Rate(link, kNow, 9) == 7200, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(links.Rate(LinkBetween("b", "a"), kNow, 0) == 0);
  BOOST_TEST(links.OwnRates(kNow + Milliseconds(10000)).empty());
}

// Load pattern: many instances send a few streams each across one link.
BOOST_AUTO_TEST_CASE(rates_of_all_instances_are_summed) {
  const LinkId link = LinkBetween("a", "b");
  UpstreamNumbers numbers;
  FleetLoadTable table;
  Fleet fleets[3];
  LoadReport own;
  for (InstanceNumber i = 0; i < 3; ++i) {
    fleets[i].Links().OnTransfer(link, 1000, kNow);
    own = BuildLoadReport(fleets[i], numbers, i, kNow);
    table.SetReport(i, own, kNow);
  }
  ApplyTotals(table.Totals(kNow), own, 2, numbers, &fleets[2], kNow);
  BOOST_TEST(fleets[2].Links().Rate(link, kNow, 0) == 3000, boost::test_tools::tolerance(1e-6));
}

// 800 tokens of 21,300 bytes take 21 ms on a link of 6,500 Mbit/s.
BOOST_AUTO_TEST_CASE(cost_grows_with_the_utilization) {
  const LinkUse idle = LinkUseWith(0, 800, 21300, 6500);
  const LinkUse busy = LinkUseWith(19000, 800, 21300, 6500);
  const LinkUse full = LinkUseWith(60000, 800, 21300, 6500);
  BOOST_TEST(idle.cost_ms == 10.5, boost::test_tools::tolerance(0.01));
  BOOST_TEST(busy.utilization == 0.519, boost::test_tools::tolerance(0.01));
  BOOST_TEST(busy.cost_ms > 4 * idle.cost_ms);
  BOOST_TEST(full.utilization > 1.5);
  BOOST_TEST(full.cost_ms > busy.cost_ms);
  BOOST_TEST(LinkUseWith(60000, 800, 21300, 0).cost_ms == 0);  // Unlimited.
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
