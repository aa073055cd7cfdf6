// Tests of the detection of engines that exited.

#include "azuregw/forward/engine_exit_checker.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

BOOST_AUTO_TEST_SUITE(engine_exit_checker)

// Guards against a lost connection to a healthy engine being taken for a crash.
BOOST_AUTO_TEST_CASE(engine_that_reports_has_not_exited) {
  GatewayFixture f;
  f.engines.report.started_ms = 1;
  int answers = 0;
  f.exits.Check("low0", [&](bool exited, int64_t) { answers += exited ? 100 : 1; });
  BOOST_TEST(answers == 1);
  BOOST_TEST(f.log.Count("engine_exited") == 0);
}

BOOST_AUTO_TEST_CASE(silent_or_restarted_engine_has_exited) {
  GatewayFixture f;
  int exits = 0;
  const auto count = [&](bool exited, int64_t started_ms) {
    exits += exited && started_ms == 1 ? 1 : 0;
  };
  f.engines.silent = true;
  f.exits.Check("low0", count);
  f.engines.silent = false;
  f.engines.report.started_ms = 2;
  f.exits.Check("low1", count);
  BOOST_TEST(exits == 2);
  BOOST_TEST(f.log.Count("engine_exited") == 2);
}

// Load pattern: dozens of streams lose one engine at once. Guards against a query for each of them.
BOOST_AUTO_TEST_CASE(requests_of_one_engine_share_a_query) {
  GatewayFixture f;
  f.engines.silent = true;
  int exits = 0;
  for (int i = 0; i < 50; ++i) {
    f.exits.Check("low0", [&](bool exited, int64_t) { exits += exited ? 1 : 0; });
  }
  BOOST_TEST(exits == 50);
  BOOST_TEST(f.engines.report_queries == 1);
  f.loop.Advance(Milliseconds(1000));
  f.exits.Check("low0", [](bool, int64_t) {});
  BOOST_TEST(f.engines.report_queries == 2);
}

// Guards against planned exits that count as crashes.
BOOST_AUTO_TEST_CASE(draining_engine_leaves_as_announced) {
  GatewayFixture f;
  f.engines.silent = true;
  std::vector<UpstreamRecord> records;
  for (const auto& [id, upstream] : f.fleet.All()) {
    records.push_back(upstream.record);
    records.back().draining = id == "low0";
  }
  f.fleet.Update(std::move(records), false, f.loop.Now());
  bool result = true;
  f.exits.Check("low0", [&](bool exited, int64_t) { result = exited; });
  BOOST_TEST(!result);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
