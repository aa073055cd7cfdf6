// Tests of the detection of engines that exited.

#include "azuregw/forward/engine_exit_checker.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/fake_gateway.h"

namespace azuregw {
namespace {

// Gateway whose engines state start time 1, in the list and in reports.
struct Fixture : GatewayFixture {
  UpstreamProcess Process(const std::string& id) const {
    UpstreamProcess process = ListedProcess(fleet, id);
    BOOST_REQUIRE(process.started_ms == 1);
    return process;
  }
  // Returns the answer, which the fake gives at once.
  bool Whole(const UpstreamProcess& process) {
    std::optional<bool> result;
    exits.CheckWhole(process, [&](bool whole) { result = whole; });
    BOOST_REQUIRE(result.has_value());
    return *result;
  }
  void Drain(const std::string& id) {
    std::vector<UpstreamRecord> records;
    for (const auto& [other, upstream] : fleet.All()) {
      records.push_back(upstream.record);
      records.back().draining = other == id;
    }
    fleet.Update(std::move(records), loop.Now());
  }
};

BOOST_AUTO_TEST_SUITE(engine_exit_checker)

// Guards against a lost connection to a healthy engine being taken for a crash.
BOOST_AUTO_TEST_CASE(engine_that_reports_has_not_exited) {
  Fixture f;
  int answers = 0;
  f.exits.CheckCrash(f.Process("low0"), [&](bool crashed) { answers += crashed ? 100 : 1; });
  BOOST_TEST(answers == 1);
  BOOST_TEST(f.log.Count("engine_exited") == 0);
}

BOOST_AUTO_TEST_CASE(silent_or_restarted_engine_has_exited) {
  Fixture f;
  int exits = 0;
  const auto count = [&](bool crashed) { exits += crashed ? 1 : 0; };
  f.engines.silent = true;
  f.exits.CheckCrash(f.Process("low0"), count);
  f.engines.silent = false;
  f.engines.report.started_ms = 2;
  f.exits.CheckCrash(f.Process("low1"), count);
  BOOST_TEST(exits == 2);
  BOOST_TEST(f.log.Count("engine_exited") == 2);
}

// Load pattern: dozens of streams lose one engine at once. Guards against a query for each of them.
BOOST_AUTO_TEST_CASE(requests_of_one_engine_share_a_query) {
  Fixture f;
  f.engines.silent = true;
  int exits = 0;
  for (int i = 0; i < 50; ++i) {
    f.exits.CheckCrash(f.Process("low0"), [&](bool crashed) { exits += crashed ? 1 : 0; });
  }
  BOOST_TEST(exits == 50);
  BOOST_TEST(f.engines.report_queries == 1);
  f.loop.Advance(Milliseconds(1000));
  f.exits.CheckCrash(f.Process("low0"), [](bool) {});
  BOOST_TEST(f.engines.report_queries == 2);
}

// Guards against planned exits that count as crashes.
BOOST_AUTO_TEST_CASE(draining_engine_leaves_as_announced) {
  Fixture f;
  f.engines.silent = true;
  f.Drain("low0");
  bool result = true;
  f.exits.CheckCrash(f.Process("low0"), [&](bool crashed) { result = crashed; });
  BOOST_TEST(!result);
}

BOOST_AUTO_TEST_CASE(response_of_a_running_process_is_whole) {
  Fixture f;
  BOOST_TEST(f.Whole(f.Process("low0")));
  BOOST_TEST(f.Whole(f.Process("o0")));
}

// Guards against a report from before the end of a connection that counts as evidence: an engine
// that has ended one response properly is killed, and its other responses end with it.
BOOST_AUTO_TEST_CASE(earlier_report_does_not_prove_a_response_whole) {
  Fixture f;
  const UpstreamProcess process = f.Process("low0");
  BOOST_TEST(f.Whole(process));
  f.loop.Advance(Milliseconds(1));
  f.engines.silent = true;
  BOOST_TEST(!f.Whole(process));
  BOOST_TEST(f.engines.report_queries == 2);
}

// Guards against an announcement that is taken for a proof: a leaving engine exits amid its
// responses like one that crashes.
BOOST_AUTO_TEST_CASE(leaving_does_not_prove_a_response_whole) {
  Fixture f;
  const UpstreamProcess process = f.Process("low0");
  f.Drain("low0");
  BOOST_TEST(f.Whole(process));
  f.loop.Advance(Milliseconds(1));
  f.engines.refuses = true;
  BOOST_TEST(!f.Whole(process));
}

BOOST_AUTO_TEST_CASE(process_that_is_no_longer_listed_is_asked) {
  Fixture f;
  const UpstreamProcess process = f.Process("low0");
  f.fleet.Update({}, f.loop.Now());
  BOOST_TEST(f.Whole(process));
  f.loop.Advance(Milliseconds(1));
  f.engines.silent = true;
  BOOST_TEST(!f.Whole(process));
}

BOOST_AUTO_TEST_CASE(report_of_another_or_unknown_process_proves_nothing) {
  Fixture f;
  f.engines.report.started_ms = 0;
  BOOST_TEST(!f.Whole(f.Process("low0")));
  f.engines.report.started_ms = 2;
  BOOST_TEST(!f.Whole(f.Process("low1")));
  BOOST_TEST(!f.Whole(UpstreamProcess()));
}

// Guards against connections that a host refuses while it is full being taken for an exit later on.
BOOST_AUTO_TEST_CASE(refused_query_does_not_count_for_later_responses) {
  Fixture f;
  const UpstreamProcess process = f.Process("o0");
  f.engines.refuses = true;
  BOOST_TEST(!f.Whole(process));
  f.loop.Advance(Milliseconds(1));
  f.engines.refuses = false;
  BOOST_TEST(f.Whole(process));
}

// Load pattern: a mass kill ends 100 streams of one engine within some ms. Guards against a query
// for each of them, and against a shared result from before some of these ends.
BOOST_AUTO_TEST_CASE(ends_during_a_query_share_the_next_one) {
  Fixture f;
  const UpstreamProcess process = f.Process("low0");
  f.engines.holds = true;
  int whole = 0;
  int broken = 0;
  for (int i = 0; i < 100; ++i) {
    f.exits.CheckWhole(process, [&](bool is_whole) { ++(is_whole ? whole : broken); });
    f.loop.Advance(Milliseconds(1));
  }
  BOOST_TEST(f.engines.report_queries == 1);
  f.engines.held[0](f.engines.report);
  BOOST_TEST(whole == 1);
  BOOST_TEST(f.engines.report_queries == 2);
  f.engines.held[1](Unknown(ResultCode::kUpstreamTimeout, "silent"));
  BOOST_TEST(whole == 1);
  BOOST_TEST(broken == 99);
  BOOST_TEST(f.engines.report_queries == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
