// Cost of the planner's holder at the target size, and its load on engines.

#include <benchmark/benchmark.h>

#include <string>

#include "azuregw/planner/engine_order_planner.h"

namespace azuregw {
namespace {

// Control may take 1.7 % of a core; the runner makes two rounds per second.
constexpr double kMaxCoreShare = 0.017;
constexpr double kRoundsPerSecond = 2;

// Rounds over engines that are all in their desired state, with the state reads that fall due.
void BM_SettledRound(benchmark::State& state) {
  Preset preset;
  EngineState settled;
  settled.model = "design";
  settled.version = "1";
  for (int i = 0; i < state.range(0); ++i) {
    EngineSpec spec;
    spec.name = "design-" + std::to_string(i);
    spec.model = settled.model;
    spec.version = settled.version;
    preset.engines[spec.name] = spec;
  }
  EngineOrderPlanner planner({}, [] { return std::string("id"); });
  TimePoint now{Milliseconds(1000000)};
  planner.OnLeaseObtained(1, {}, now);
  double reads = 0;
  double rounds = 0;
  const auto start = std::chrono::steady_clock::now();
  for (auto _ : state) {
    now += Milliseconds(500);
    const PlannerActions actions = planner.Tick(preset, now);
    for (const EngineRead& read : actions.reads) {
      planner.OnState(read, settled, now);
    }
    reads += static_cast<double>(actions.reads.size());
    ++rounds;
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  const double core_share = took.count() / rounds * kRoundsPerSecond;
  state.counters["reads_per_s"] = reads / rounds * kRoundsPerSecond;
  state.counters["core_percent"] = core_share * 100;
  if (core_share > kMaxCoreShare) {
    state.SkipWithError("the planner is above the target for control");
  }
}
BENCHMARK(BM_SettledRound)->Arg(30)->Arg(3600)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
