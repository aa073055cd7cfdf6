// Swaps, latency and bytes of order claims over a store with limited rate, by simulation of the
// shipped ClaimBatcher in virtual time.
//
// order_claims_bench [--benchmark_filter=...]; the figures are the user counters.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "bench/claim_simulation.h"

namespace azuregw {
namespace {

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

void Report(const Scenario& scenario, benchmark::State* state) {
  Totals totals;
  for (auto iteration : *state) {
    (void)iteration;
    totals = ClaimSimulation(scenario).Run();
  }
  const double seconds = static_cast<double>(scenario.duration_ms) / 1000;
  const auto granted = static_cast<double>(std::max<int64_t>(1, totals.granted));
  auto& counters = state->counters;
  counters["granted_per_s"] = static_cast<double>(totals.granted) / seconds;
  counters["refused"] = static_cast<double>(totals.refused);
  counters["swaps_per_s"] = static_cast<double>(totals.counters.swaps) / seconds;
  counters["swaps_per_order"] = static_cast<double>(totals.counters.swaps) / granted;
  counters["calls_per_order"] = static_cast<double>(totals.counters.calls) / granted;
  counters["conflicts_per_order"] = static_cast<double>(totals.counters.conflicts) / granted;
  counters["kB_per_order"] = static_cast<double>(totals.counters.written_bytes) / 1000 / granted;
  counters["claim_ms_p50"] = Quantile(totals.claim_ms, 0.5);
  counters["claim_ms_p95"] = Quantile(totals.claim_ms, 0.95);
  counters["largest_value_kB"] = static_cast<double>(totals.largest_value) / 1000;
}

// Arguments: instances, owner forwarding.
void BM_SwapsPerClaim(benchmark::State& state) {
  Scenario scenario;
  scenario.instances = static_cast<int>(state.range(0));
  scenario.owner = state.range(1) != 0;
  scenario.shards = 16;
  scenario.orders_per_s = 100;
  Report(scenario, &state);
}
BENCHMARK(BM_SwapsPerClaim)
    ->ArgNames({"instances", "owner"})
    ->ArgsProduct({{1, 3, 9}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Arguments: shards, orders per second offered.
void BM_ClaimsAtStoreLimit(benchmark::State& state) {
  Scenario scenario;
  scenario.shards = static_cast<int>(state.range(0));
  scenario.orders_per_s = static_cast<double>(state.range(1));
  scenario.options.outcome_linger = Milliseconds(1000);
  Report(scenario, &state);
}
BENCHMARK(BM_ClaimsAtStoreLimit)
    ->ArgNames({"shards", "orders_per_s"})
    ->ArgsProduct({{16, 64, 256, 1024}, {240, 480, 1200, 2400}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Arguments: shards, orders per second offered. The interval between the swaps of a shard is that
// of the committer: 200 swaps per second over all shards, at most 1 s.
void BM_ClaimsWithInterval(benchmark::State& state) {
  Scenario scenario;
  scenario.shards = static_cast<int>(state.range(0));
  scenario.options.swap_interval = Milliseconds(std::min(1000, scenario.shards * 5));
  scenario.options.outcome_linger = Milliseconds(1000);
  scenario.orders_per_s = static_cast<double>(state.range(1));
  Report(scenario, &state);
}
BENCHMARK(BM_ClaimsWithInterval)
    ->ArgNames({"shards", "orders_per_s"})
    ->ArgsProduct({{16, 64, 256}, {10, 240, 480, 1200}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Arguments: seal limit in kB. A long run of one shard, for the size of records and the bytes
// written per order.
void BM_RecordSize(benchmark::State& state) {
  Scenario scenario;
  scenario.shards = 1;
  scenario.orders_per_s = 4;
  scenario.duration_ms = 3600 * 1000;
  scenario.options.seal_bytes = static_cast<size_t>(state.range(0)) * 1024;
  scenario.options.outcome_linger = Milliseconds(1000);
  Report(scenario, &state);
}
BENCHMARK(BM_RecordSize)
    ->ArgNames({"seal_kB"})
    ->Arg(32)
    ->Arg(64)
    ->Arg(128)
    ->Arg(256)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

constexpr int kClaims = 1000;

// A record of settled claims with answers of `answer_bytes`.
ClaimRecord SettledRecord(size_t answer_bytes) {
  ClaimRecord record;
  for (int i = 0; i < kClaims; ++i) {
    Claim claim;
    claim.key_hash = "key-hash-of-24-char-" + std::to_string(1000 + i);
    claim.fingerprint = "print-of-16-char";
    claim.claim_id = "claim-id-of-32-characters---" + std::to_string(1000 + i);
    claim.created_ms = kWallBase;
    claim.deadline_ms = kWallBase + 30000;
    claim.state = ClaimState::kRun;
    claim.answer =
        RecordedAnswer{201, "application/json", std::string(answer_bytes, 'x'), "", true};
    (void)record.ApplyOutcome(claim);
  }
  return record;
}

// Time to encode a record, and bytes of one settled claim in it.
void BM_EncodeRecord(benchmark::State& state) {
  const ClaimRecord record = SettledRecord(static_cast<size_t>(state.range(0)));
  std::string text;
  for (auto iteration : state) {
    (void)iteration;
    text = record.Encode();
    benchmark::DoNotOptimize(text);
  }
  state.counters["bytes_per_claim"] = static_cast<double>(text.size()) / kClaims;
}
BENCHMARK(BM_EncodeRecord)
    ->ArgName("answer_bytes")
    ->Arg(0)
    ->Arg(60)
    ->Arg(500)
    ->Unit(benchmark::kMicrosecond);

// Time to decode a record, as for each generation when a shard gets a new owner.
void BM_DecodeRecord(benchmark::State& state) {
  const std::string text = SettledRecord(static_cast<size_t>(state.range(0))).Encode();
  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(ClaimRecord::Decode(text));
  }
}
BENCHMARK(BM_DecodeRecord)->ArgName("answer_bytes")->Arg(60)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
