// Cost of metrics on traffic threads.

#include <benchmark/benchmark.h>

#include <memory>

#include "azuregw/metrics/metrics.h"

namespace azuregw {
namespace {

Metrics* SharedMetrics() {
  static Metrics* const metrics = MakeMetrics().release();
  return metrics;
}

void BM_Add(benchmark::State& state) {
  Metrics* metrics = SharedMetrics();
  for (auto _ : state) {
    metrics->Add("azuregw_requests_total", "workspace=\"stall\"", 1);
  }
}
BENCHMARK(BM_Add)->Threads(1)->Threads(4);

void BM_Observe(benchmark::State& state) {
  Metrics* metrics = SharedMetrics();
  double value = 0;
  for (auto _ : state) {
    metrics->Observe("azuregw_first_token_ms", "model=\"design\"", value);
    value = value < 1000 ? value + 1 : 0;
  }
}
BENCHMARK(BM_Observe)->Threads(1)->Threads(4);

void BM_PrometheusText(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(SharedMetrics()->PrometheusText());
  }
}
BENCHMARK(BM_PrometheusText)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
