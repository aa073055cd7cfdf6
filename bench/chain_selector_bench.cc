// Time and allocations per selection, by engines and models.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "azuregw/routing/chain_selector.h"
#include "bench/allocation_counter.h"
#include "bench/fleet_preset.h"

namespace azuregw {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

std::unique_ptr<ChainSelector> MakeLoadedSelector(const Snapshot& snapshot) {
  auto selector = MakeChainSelector(MakeRandom(1));
  selector->Prepare(snapshot, kStart);
  int i = 0;
  for (const auto& [name, spec] : snapshot.preset->engines) {
    EngineLoad load;
    load.running = i++ % 300;
    selector->OnLoad(name, load, kStart);
    CacheEvents events;
    events.events = {{1, true, 100}, {2, true, 101 + static_cast<uint64_t>(i % 5)}};
    events.next = 2;
    selector->OnCacheEvents(name, events);
  }
  return selector;
}

void BM_Select(benchmark::State& state) {
  const auto snapshot =
      MakeFleetSnapshot(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  const auto selector = MakeLoadedSelector(*snapshot);
  ChainRequest request;
  request.model = "model-0";
  if (state.range(2) != 0) {
    request.prefix_hashes = {100, 101, 999};
  }
  int64_t step = 0;
  const auto select = [&] {
    const TimePoint now = kStart + Microseconds(100 * ++step);
    benchmark::DoNotOptimize(selector->Select(*snapshot, request, now));
  };
  select();
  const int64_t before = Allocations();
  for (auto _ : state) {
    select();
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(Allocations() - before),
                                                     benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_Select)
    ->ArgNames({"engines", "models", "prefix"})
    ->Args({30, 1, 0})
    ->Args({30, 1, 1})
    ->Args({300, 4, 0})
    ->Args({300, 4, 1})
    ->Args({3600, 36, 0})
    ->Args({3600, 36, 1})
    ->Args({3600, 1, 0});

void BM_OnStep(benchmark::State& state) {
  const auto snapshot = MakeFleetSnapshot(static_cast<int>(state.range(0)), 1);
  const auto selector = MakeLoadedSelector(*snapshot);
  const std::string upstream = "engine-7";
  EngineLoad load;
  int64_t step = 0;
  for (auto _ : state) {
    const TimePoint now = kStart + Microseconds(100 * ++step);
    selector->OnStep(upstream, 12.0, ResultCode::kOk, &load, now);
  }
}
BENCHMARK(BM_OnStep)->ArgName("engines")->Arg(30)->Arg(3600);

// A new topology revision, which the control thread prepares.
void BM_Prepare(benchmark::State& state) {
  const int engines = static_cast<int>(state.range(0));
  const int models = static_cast<int>(state.range(1));
  const auto first = MakeFleetSnapshot(engines, models);
  const auto selector = MakeLoadedSelector(*first);
  Snapshot next = *first;
  for (auto _ : state) {
    ++next.topology_revision;
    selector->Prepare(next, kStart);
  }
}
BENCHMARK(BM_Prepare)
    ->ArgNames({"engines", "models"})
    ->Args({30, 1})
    ->Args({300, 4})
    ->Args({3600, 36})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
