// Cost of a preset change: time, rounds, messages and bytes, with in-memory delivery. A message
// takes 10 ms to arrive.

#include <benchmark/benchmark.h>

#include <string>

#include "tests/fakes/preset_network.h"

namespace azuregw {
namespace {

constexpr Milliseconds kLimit{20000};
// Invariant I7: an accepted preset is in force everywhere within 5 s.
constexpr double kMaxSpreadMs = 5000;
constexpr size_t kPresetBytes = 500000;

// A change of one workspace in a 500 KB preset, found by `watchers` instances at the same time.
// These are the only instances that read the key-value service.
void BM_OneWorkspaceChange(benchmark::State& state) {
  const int count = static_cast<int>(state.range(0));
  const size_t watchers = static_cast<size_t>(state.range(1));
  const double loss = static_cast<double>(state.range(2)) / 100;
  const std::string before = SampleDocument(kPresetBytes, 1);
  const std::string after = SampleDocument(kPresetBytes, 2);
  double took_ms = 0;
  double messages = 0;
  double bytes = 0;
  for (auto _ : state) {
    PresetNetwork network(count, 1);
    network.SetHeartbeats(false);
    for (size_t i = 0; i < static_cast<size_t>(count); ++i) {
      network.ActivatePreset(i, 7, before);
    }
    // Lets the notices of the starting revision pass.
    for (int i = 0; i < 100; ++i) {
      network.Step();
    }
    network.SetHeartbeats(true);
    network.SetLoss(loss);
    const uint64_t messages_before = network.Messages();
    const uint64_t bytes_before = network.Bytes();
    for (size_t i = 0; i < watchers; ++i) {
      network.ActivatePreset(i, 8, after);
    }
    took_ms = static_cast<double>(network.RunUntilAll(8, kLimit).count());
    messages = static_cast<double>(network.Messages() - messages_before);
    bytes = static_cast<double>(network.Bytes() - bytes_before);
  }
  state.counters["took_ms"] = took_ms;
  state.counters["rounds"] = took_ms / static_cast<double>(PresetNetwork::kStep.count());
  state.counters["messages"] = messages;
  state.counters["messages_per_instance"] = messages / count;
  state.counters["B"] = bytes;
  state.counters["B_per_instance"] = bytes / count;
  state.counters["kv_reads"] = static_cast<double>(watchers);
  if (took_ms > kMaxSpreadMs) {
    state.SkipWithError("a preset took more than 5 s");
  }
}
BENCHMARK(BM_OneWorkspaceChange)
    ->ArgNames({"instances", "watchers", "loss_percent"})
    ->Args({9, 3, 0})
    ->Args({600, 5, 0})
    ->Args({600, 5, 5})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

// Processor time of one instance for one change: patch, canonical text and hash.
void BM_ApplyPatchedPreset(benchmark::State& state) {
  const auto source = MakePresetDistribution({}, MakeRandom(1));
  const TimePoint now{};
  source->OnPresetActivated(7, SampleDocument(kPresetBytes, 1), now);
  source->OnPresetActivated(8, SampleDocument(kPresetBytes, 2), now);
  wire::PresetRequestT request;
  request.have_revision = 7;
  const PresetActions answer = source->OnRequest("gw-1", request, now);
  const wire::PresetReplyT& reply = *answer.sends[0].envelope.body.AsPresetReply();
  for (auto _ : state) {
    state.PauseTiming();
    const auto puller = MakePresetDistribution({}, MakeRandom(2));
    puller->OnPresetActivated(7, SampleDocument(kPresetBytes, 1), now);
    state.ResumeTiming();
    benchmark::DoNotOptimize(puller->OnReply("gw-0", reply, now));
  }
}
BENCHMARK(BM_ApplyPatchedPreset)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
