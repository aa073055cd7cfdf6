// Simulation tests of the contribution of each mechanism of chain selection. Unless stated
// otherwise, the fleet has nine instances, mixed accelerator kinds, link times that differ a
// hundredfold, and load reports delayed by 1 s. --log_level=message prints the results;
// docs/routing.md explains them.

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>

#include "tests/routing/fleet_simulation.h"

namespace azuregw {
namespace {

// Adds faults and joins to a simulation before it runs.
using Scenario = std::function<void(FleetSimulation*)>;

SimulationOptions LoadOptions(double sequences_per_s, uint64_t seed = 1) {
  SimulationOptions options;
  options.sequences_per_s = sequences_per_s;
  options.seed = seed;
  options.max_inflight = 15;  // 135 sequences at nine instances; near engines: 112 slots per range.
  return options;
}

// Runs a simulation and logs its result under `name`.
SimulationResult RunSimulation(const std::string& name, const SimulationOptions& options,
                               const PolicyFactory& policy, const Scenario& scenario = nullptr,
                               int engines_per_range = 10) {
  FleetSimulation simulation(MakeMixedFleet(engines_per_range), options, policy);
  if (scenario) {
    scenario(&simulation);
  }
  const SimulationResult result = simulation.Run();
  std::ostringstream line;
  line.precision(0);
  line << std::fixed << name << " at " << options.sequences_per_s << "/s: first token mean "
       << result.first_token_mean_ms << " ms, p95 " << result.first_token_p95_ms
       << " ms; per token " << result.token_mean_ms << " ms; " << result.sequences_per_s
       << " sequences/s; " << result.step_failures << " failed steps; cached ";
  line.precision(2);
  line << result.cached_share;
  BOOST_TEST_MESSAGE(line.str());
  return result;
}

// Returns the policy of a selector with changed options.
template <class Change>
PolicyFactory SelectorVariant(Change change) {
  SelectorOptions options;
  change(&options);
  return ChainSelectorPolicy(options);
}

BOOST_AUTO_TEST_SUITE(selection_simulation)

// Guards against a selector that does not outperform simple policies.
BOOST_AUTO_TEST_CASE(beats_simple_policies) {
  for (const double rate : {15.0, 28.0}) {
    const SimulationResult selector =
        RunSimulation("selector", LoadOptions(rate), ChainSelectorPolicy());
    const SimulationResult simple[] = {
        RunSimulation("random", LoadOptions(rate), RandomPolicy()),
        RunSimulation("round robin", LoadOptions(rate), RoundRobinPolicy()),
        RunSimulation("least reported load", LoadOptions(rate), LeastReportedLoadPolicy()),
    };
    BOOST_TEST(selector.first_token_p95_ms < 400);
    BOOST_TEST(selector.sequences_per_s > 0.95 * rate);
    // Nine engines per range exclude those behind the slow link, which these policies ignore.
    const SimulationResult near[] = {
        RunSimulation("random, near engines only", LoadOptions(rate), RandomPolicy(), nullptr, 9),
        RunSimulation("round robin, near engines only", LoadOptions(rate), RoundRobinPolicy(),
                      nullptr, 9),
        RunSimulation("least reported load, near engines only", LoadOptions(rate),
                      LeastReportedLoadPolicy(), nullptr, 9),
    };
    for (const SimulationResult& other : near) {
      BOOST_TEST(selector.first_token_p95_ms < other.first_token_p95_ms);
      BOOST_TEST(selector.token_mean_ms < other.token_mean_ms);
    }
    for (const SimulationResult& other : simple) {
      BOOST_TEST(selector.first_token_p95_ms < 0.5 * other.first_token_p95_ms);
      BOOST_TEST(selector.token_mean_ms < 0.8 * other.token_mean_ms);
    }
  }
}

// Guards against herding: instances with reports of the same age overload the same engines in turn.
BOOST_AUTO_TEST_CASE(load_estimate_needs_all_its_parts) {
  const SimulationOptions load = LoadOptions(28);
  const double all = RunSimulation("selector", load, ChainSelectorPolicy()).first_token_p95_ms;
  const auto raw = SelectorVariant([](SelectorOptions* o) { o->smooth_reports = false; });
  BOOST_TEST(RunSimulation("without smoothing", load, raw).first_token_p95_ms > 3 * all);
  const auto reports = SelectorVariant([](SelectorOptions* o) { o->use_local_inflight = false; });
  BOOST_TEST(RunSimulation("without local in-flight", load, reports).first_token_p95_ms > 3 * all);
  const auto local = SelectorVariant([](SelectorOptions* o) { o->use_reports = false; });
  BOOST_TEST(RunSimulation("without reports", load, local).first_token_p95_ms > 2 * all);
}

// Guards against many instances that select the same engine, with 60 instances and 90 engines.
BOOST_AUTO_TEST_CASE(subset_and_sampling_spread_many_instances) {
  SimulationOptions load = LoadOptions(93);
  load.instances = 60;
  load.max_inflight = 7;
  const double all =
      RunSimulation("selector", load, ChainSelectorPolicy(), nullptr, 30).first_token_mean_ms;
  const auto whole = SelectorVariant([](SelectorOptions* o) { o->subset_size = 0; });
  BOOST_TEST(RunSimulation("without subset", load, whole, nullptr, 30).first_token_mean_ms >
             2 * all);
  const auto best = SelectorVariant([](SelectorOptions* o) { o->use_two_choices = false; });
  BOOST_TEST(RunSimulation("without sampling", load, best, nullptr, 30).first_token_mean_ms >
             1.1 * all);
}

// Guards against repeated attempts at engines that do not answer.
BOOST_AUTO_TEST_CASE(ejection_limits_failed_steps) {
  const auto frozen = [](FleetSimulation* simulation) {
    simulation->Freeze("e0-0", 40, 300);
    simulation->Freeze("e8-2", 40, 300);
  };
  const auto slow = [](FleetSimulation* simulation) {
    simulation->SlowDown("e0-0", 10, 40, 300);
    simulation->SlowDown("e8-2", 10, 40, 300);
  };
  SimulationOptions load = LoadOptions(26);
  load.seconds = 320;
  const auto without = SelectorVariant([](SelectorOptions* o) { o->use_ejection = false; });
  const SimulationResult with =
      RunSimulation("frozen, selector", load, ChainSelectorPolicy(), frozen);
  const SimulationResult none = RunSimulation("frozen, without ejection", load, without, frozen);
  BOOST_TEST(with.step_failures < 0.75 * none.step_failures);
  const SimulationResult slow_with =
      RunSimulation("slow, selector", load, ChainSelectorPolicy(), slow);
  const SimulationResult slow_none = RunSimulation("slow, without ejection", load, without, slow);
  BOOST_TEST(slow_with.first_token_p95_ms < slow_none.first_token_p95_ms);
  BOOST_TEST(slow_with.token_mean_ms < slow_none.token_mean_ms);
}

// Guards against a recovered engine that is never selected again.
BOOST_AUTO_TEST_CASE(recovered_engines_return) {
  SimulationOptions load = LoadOptions(28);
  load.warm_up_s = 80;
  const auto outage = [](FleetSimulation* simulation) {
    for (const char* engine : {"e0-0", "e0-2", "e0-4", "e0-6"}) {
      simulation->Freeze(engine, 20, 30);
    }
  };
  const SimulationResult result =
      RunSimulation("after an outage", load, ChainSelectorPolicy(), outage);
  // Without these four engines, the range has 48 of 112 near slots, and the queue would grow.
  BOOST_TEST(result.first_token_p95_ms < 1000);
}

// Guards against a cold engine that receives all sequences because its reported load is zero.
BOOST_AUTO_TEST_CASE(slow_start_protects_callers_from_cold_engines) {
  const auto join = [](FleetSimulation* simulation) {
    for (const char* engine : {"e0-0", "e8-2"}) {
      simulation->JoinAt(engine, 60);
      simulation->SlowDown(engine, 10, 60, 72);
    }
  };
  SimulationOptions load = LoadOptions(20);
  load.warm_up_s = 55;
  load.seconds = 85;
  const auto without = SelectorVariant([](SelectorOptions* o) { o->use_slow_start = false; });
  const SimulationResult with =
      RunSimulation("joining, selector", load, ChainSelectorPolicy(), join);
  const SimulationResult none = RunSimulation("joining, without slow start", load, without, join);
  BOOST_TEST(with.first_token_mean_ms < 0.7 * none.first_token_mean_ms);
}

// Guards against cache affinity that finds no cached prefixes, or that outweighs the load.
BOOST_AUTO_TEST_CASE(cache_affinity_is_weighed_against_load) {
  const auto without = SelectorVariant([](SelectorOptions* o) { o->cache_saving_share = 0; });
  const auto only = SelectorVariant([](SelectorOptions* o) { o->cache_saving_share = 1.0; });
  SimulationOptions load = LoadOptions(28);
  load.prompts = 200;
  load.cached_per_engine = 40;
  const SimulationResult with = RunSimulation("cache, selector", load, ChainSelectorPolicy());
  const SimulationResult none = RunSimulation("cache, without affinity", load, without);
  const SimulationResult strong = RunSimulation("cache, affinity over load", load, only);
  BOOST_TEST(with.cached_share > 2 * none.cached_share);
  BOOST_TEST(with.first_token_mean_ms < 0.7 * none.first_token_mean_ms);
  BOOST_TEST(with.first_token_p95_ms < strong.first_token_p95_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
