// Cost of batching one step.

#include <benchmark/benchmark.h>

#include <string>

#include "azuregw/engine/step_batcher.h"

namespace azuregw {
namespace {

void BenchBatchSteps(benchmark::State& state) {
  const auto steps = static_cast<uint64_t>(state.range(0));
  const std::string sources[] = {"10.0.0.1:9000", "10.0.0.2:9000", "10.0.0.3:9000"};
  StepBatcher batcher({8, 4, 256, 4096});
  for (auto _ : state) {
    for (uint64_t step = 0; step < steps; ++step) {
      batcher.Add(step, false, sources[step % 3]);
    }
    for (StepBatch batch = batcher.NextBatch(); !batch.steps.empty(); batch = batcher.NextBatch()) {
      batcher.OnBatchDone(batch.source);
    }
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BenchBatchSteps)->Arg(8)->Arg(64);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
