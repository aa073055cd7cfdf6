// Cost of counting refusals, and size of the hour's record at the target size.

#include <benchmark/benchmark.h>

#include <set>
#include <string>

#include "azuregw/refusals/refusal_aggregator.h"
#include "azuregw/refusals/refusal_ledger.h"
#include "tests/fakes/memory_key_value_store.h"

namespace azuregw {
namespace {

constexpr int64_t kHour = 480000;

// One refusal on a traffic thread.
void BM_OnRefusal(benchmark::State& state) {
  RefusalLedger ledger("gw-0", 1);
  int64_t wall_ms = kHour * 3600000;
  for (auto _ : state) {
    ledger.OnRefusal("stall", ResultCode::kOverloaded, ++wall_ms);
  }
}
BENCHMARK(BM_OnRefusal);

// One write of an aggregator: 120 instances, every one with refusals of 60 workspaces for three
// reasons in each of the hour's first `range` minutes.
void BM_AggregatorWrite(benchmark::State& state) {
  const int64_t minutes = state.range(0);
  MemoryKeyValueStore kv;
  RefusalAggregator aggregator("fd-a");
  int64_t wall_ms = kHour * 3600000;
  for (int i = 0; i < 120; ++i) {
    RefusalLedger ledger("gw-" + std::to_string(i), 1);
    for (int64_t minute = 0; minute < minutes; ++minute) {
      for (int workspace = 0; workspace < 60; ++workspace) {
        for (const ResultCode reason :
             {ResultCode::kOverloaded, ResultCode::kNoChain, ResultCode::kWorkspaceLimit}) {
          ledger.OnRefusal("workspace-" + std::to_string(workspace), reason,
                           wall_ms + minute * 60000);
        }
      }
    }
    for (const RefusalSend& send : ledger.MakeReports({"agg"}, wall_ms + 1, false)) {
      aggregator.OnReport(send.report, wall_ms + 1);
    }
  }
  for (auto _ : state) {
    wall_ms += 1000;
    if (aggregator.Write(&kv, wall_ms).has_error()) {
      state.SkipWithError("write failed");
      break;
    }
  }
  const auto entry = kv.Get(RefusalRecordKey("fd-a", kHour));
  state.counters["record_B"] = static_cast<double>(entry.value()->value.size());
}
BENCHMARK(BM_AggregatorWrite)->Arg(1)->Arg(60)->Iterations(5)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
