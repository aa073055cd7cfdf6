// What each mechanism of chain selection contributes, in the queue model with mixed kinds, links
// that differ a hundredfold, reports that lag 1 s and nine instances unless stated otherwise.
// Figures are printed with --log_level=message. docs/routing.md explains them.

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

#include "tests/routing/fleet_simulation.h"

namespace azuregw {
namespace {

using Scenario = std::function<void(FleetSimulation*)>;

FleetOptions Load(double sequences_per_s, uint64_t seed = 1) {
  FleetOptions options;
  options.sequences_per_s = sequences_per_s;
  options.seed = seed;
  options.max_inflight = 15;  // Nine instances: 135 places; the near engines have 112 per range.
  return options;
}

FleetFigures Measure(const std::string& name, const FleetOptions& options,
                     const PolicyMaker& policy, const Scenario& scenario = nullptr,
                     int engines_per_range = 10) {
  FleetSimulation simulation(MixedFleet(engines_per_range), options, policy);
  if (scenario) {
    scenario(&simulation);
  }
  const FleetFigures figures = simulation.Run();
  std::ostringstream line;
  line.precision(0);
  line << std::fixed << name << " at " << options.sequences_per_s << "/s: first token mean "
       << figures.first_token_mean_ms << " ms, p95 " << figures.first_token_p95_ms
       << " ms; per token " << figures.token_mean_ms << " ms; " << figures.sequences_per_s
       << " sequences/s; " << figures.step_failures << " failed steps; cached ";
  line.precision(2);
  line << figures.cached_share;
  BOOST_TEST_MESSAGE(line.str());
  return figures;
}

template <class Change>
PolicyMaker Without(Change change) {
  SelectorOptions options;
  change(&options);
  return ChainSelectorPolicy(options);
}

BOOST_AUTO_TEST_SUITE(selection_simulation)

// Guards against a selector that is no better than simple policies.
BOOST_AUTO_TEST_CASE(beats_simple_policies) {
  for (const double rate : {15.0, 28.0}) {
    const FleetFigures selector = Measure("selector", Load(rate), ChainSelectorPolicy());
    const FleetFigures simple[] = {
        Measure("random", Load(rate), RandomPolicy()),
        Measure("round robin", Load(rate), RoundRobinPolicy()),
        Measure("least reported load", Load(rate), LeastReportedLoadPolicy()),
    };
    BOOST_TEST(selector.first_token_p95_ms < 400);
    BOOST_TEST(selector.sequences_per_s > 0.95 * rate);
    // Nine engines per range leave out those behind the slow link, which these policies cannot see.
    const FleetFigures near[] = {
        Measure("random, near engines only", Load(rate), RandomPolicy(), nullptr, 9),
        Measure("round robin, near engines only", Load(rate), RoundRobinPolicy(), nullptr, 9),
        Measure("least reported load, near engines only", Load(rate), LeastReportedLoadPolicy(),
                nullptr, 9),
    };
    for (const FleetFigures& other : near) {
      BOOST_TEST(selector.first_token_p95_ms < other.first_token_p95_ms);
      BOOST_TEST(selector.token_mean_ms < other.token_mean_ms);
    }
    for (const FleetFigures& other : simple) {
      BOOST_TEST(selector.first_token_p95_ms < 0.5 * other.first_token_p95_ms);
      BOOST_TEST(selector.token_mean_ms < 0.8 * other.token_mean_ms);
    }
  }
}

// Guards against herding: instances with equally old reports fill the same engines in turn.
BOOST_AUTO_TEST_CASE(load_estimate_needs_all_its_parts) {
  const FleetOptions load = Load(28);
  const double all = Measure("selector", load, ChainSelectorPolicy()).first_token_p95_ms;
  const auto raw = Without([](SelectorOptions* o) { o->smooth_reports = false; });
  BOOST_TEST(Measure("without smoothing", load, raw).first_token_p95_ms > 3 * all);
  const auto reports = Without([](SelectorOptions* o) { o->use_local_inflight = false; });
  BOOST_TEST(Measure("without local in-flight", load, reports).first_token_p95_ms > 3 * all);
  const auto local = Without([](SelectorOptions* o) { o->use_reports = false; });
  BOOST_TEST(Measure("without reports", load, local).first_token_p95_ms > 2 * all);
}

// Guards against many instances that agree on one engine, at 60 instances and 90 engines.
BOOST_AUTO_TEST_CASE(subset_and_sampling_keep_many_instances_apart) {
  FleetOptions load = Load(93);
  load.instances = 60;
  load.max_inflight = 7;
  const double all =
      Measure("selector", load, ChainSelectorPolicy(), nullptr, 30).first_token_mean_ms;
  const auto whole = Without([](SelectorOptions* o) { o->subset_size = 0; });
  BOOST_TEST(Measure("without subset", load, whole, nullptr, 30).first_token_mean_ms > 2 * all);
  const auto best = Without([](SelectorOptions* o) { o->two_choices = false; });
  BOOST_TEST(Measure("without sampling", load, best, nullptr, 30).first_token_mean_ms > 1.1 * all);
}

// Guards against engines that do not answer and are tried again and again.
BOOST_AUTO_TEST_CASE(ejection_limits_failed_steps) {
  const auto frozen = [](FleetSimulation* simulation) {
    simulation->Freeze("e0-0", 40, 300);
    simulation->Freeze("e8-2", 40, 300);
  };
  const auto slow = [](FleetSimulation* simulation) {
    simulation->SlowDown("e0-0", 10, 40, 300);
    simulation->SlowDown("e8-2", 10, 40, 300);
  };
  FleetOptions load = Load(26);
  load.seconds = 320;
  const auto without = Without([](SelectorOptions* o) { o->use_ejection = false; });
  const FleetFigures with = Measure("frozen, selector", load, ChainSelectorPolicy(), frozen);
  const FleetFigures none = Measure("frozen, without ejection", load, without, frozen);
  BOOST_TEST(with.step_failures < 0.75 * none.step_failures);
  const FleetFigures slow_with = Measure("slow, selector", load, ChainSelectorPolicy(), slow);
  const FleetFigures slow_none = Measure("slow, without ejection", load, without, slow);
  BOOST_TEST(slow_with.first_token_p95_ms < slow_none.first_token_p95_ms);
  BOOST_TEST(slow_with.token_mean_ms < slow_none.token_mean_ms);
}

// Guards against a recovered engine that is never used again.
BOOST_AUTO_TEST_CASE(recovered_engines_return) {
  FleetOptions load = Load(28);
  load.warm_up_s = 80;
  const auto outage = [](FleetSimulation* simulation) {
    for (const char* engine : {"e0-0", "e0-2", "e0-4", "e0-6"}) {
      simulation->Freeze(engine, 20, 30);
    }
  };
  const FleetFigures figures = Measure("after an outage", load, ChainSelectorPolicy(), outage);
  // Without these four engines, the range has 48 of 112 near places, and the queue would grow.
  BOOST_TEST(figures.first_token_p95_ms < 1000);
}

// Guards against a cold engine that attracts all sequences because its load reads zero.
BOOST_AUTO_TEST_CASE(slow_start_protects_callers_from_cold_engines) {
  const auto join = [](FleetSimulation* simulation) {
    for (const char* engine : {"e0-0", "e8-2"}) {
      simulation->JoinAt(engine, 60);
      simulation->SlowDown(engine, 10, 60, 72);
    }
  };
  FleetOptions load = Load(20);
  load.warm_up_s = 55;
  load.seconds = 85;
  const auto without = Without([](SelectorOptions* o) { o->use_slow_start = false; });
  const FleetFigures with = Measure("joining, selector", load, ChainSelectorPolicy(), join);
  const FleetFigures none = Measure("joining, without slow start", load, without, join);
  BOOST_TEST(with.first_token_mean_ms < 0.7 * none.first_token_mean_ms);
}

// Guards against an affinity that finds no cached prefixes, or that overrides the load.
BOOST_AUTO_TEST_CASE(cache_affinity_is_weighed_against_load) {
  const auto without = Without([](SelectorOptions* o) { o->cache_saving = 0; });
  const auto only = Without([](SelectorOptions* o) { o->cache_saving = 1.0; });
  FleetOptions load = Load(28);
  load.prompts = 200;
  load.cached_per_engine = 40;
  const FleetFigures with = Measure("cache, selector", load, ChainSelectorPolicy());
  const FleetFigures none = Measure("cache, without affinity", load, without);
  const FleetFigures strong = Measure("cache, affinity over load", load, only);
  BOOST_TEST(with.cached_share > 2 * none.cached_share);
  BOOST_TEST(with.first_token_mean_ms < 0.7 * none.first_token_mean_ms);
  BOOST_TEST(with.first_token_p95_ms < strong.first_token_p95_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
